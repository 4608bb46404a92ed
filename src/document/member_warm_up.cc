#include "document/member_warm_up.h"

#include <algorithm>

namespace citronfall {
namespace {

/// A returning member gets some load immediately; otherwise its caches would stay cold.
constexpr double first_weight = 0.1;

} // namespace

void member_warm_up::accept(const operator_config& document, instant now)
{
    for (const member_key& each : document_->leaving) {
        if (!document->leaving.contains(each)) {
            since_[each] = now;
        }
    }
    for (const member_key& each : document->leaving) {
        since_.erase(each);
    }
    document_ = document;
}

double member_warm_up::weight(const member_key& member, instant now) const
{
    if (document_->leaving.contains(member)) {
        return 0.0;
    }
    const auto found = since_.find(member);
    const duration whole = document_->maintenance->warm_up;
    if (found == since_.end() || whole.count() == 0) {
        return 1.0;
    }
    const double part = static_cast<double>((now - found->second).count()) / static_cast<double>(whole.count());
    return std::clamp(first_weight + (1.0 - first_weight) * part, first_weight, 1.0);
}

} // namespace citronfall
