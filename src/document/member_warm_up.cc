#include "document/member_warm_up.h"

#include <algorithm>

namespace citronfall {
namespace {

/// A returning member gets some load immediately; otherwise its caches would stay cold.
constexpr double initial_weight = 0.1;

} // namespace

void member_warm_up::accept(const operator_config& document, instant now)
{
    for (const member_key& each : document_->leaving) {
        if (!document->leaving.contains(each)) {
            returned_at_[each] = now;
        }
    }
    for (const member_key& each : document->leaving) {
        returned_at_.erase(each);
    }
    document_ = document;
}

double member_warm_up::weight(const member_key& member, instant now) const
{
    if (document_->leaving.contains(member)) {
        return 0.0;
    }
    const auto found = returned_at_.find(member);
    const duration warm_up_time = document_->maintenance->warm_up;
    if (found == returned_at_.end() || warm_up_time.count() == 0) {
        return 1.0;
    }
    const double progress =
        static_cast<double>((now - found->second).count()) / static_cast<double>(warm_up_time.count());
    return std::clamp(initial_weight + (1.0 - initial_weight) * progress, initial_weight, 1.0);
}

} // namespace citronfall
