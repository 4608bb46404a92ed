#include "relay/expired_daemons.h"

namespace citronfall {
namespace {

/// How long expired daemons are counted. Equals minority_wait in primary_change.cc, after which a change of
/// primary no longer depends on unreachable daemons.
constexpr duration retention = std::chrono::milliseconds(7500);

} // namespace

void expired_daemons::update(const std::string& service, const std::vector<std::string>& before,
                             const std::set<std::string>& listed, instant now)
{
    std::map<std::string, instant>& expired = since_[service];
    for (const std::string& each : before) {
        if (!listed.contains(each)) {
            expired.try_emplace(each, now);
        }
    }
    std::erase_if(expired,
                  [&](const auto& each) { return listed.contains(each.first) || now - each.second > retention; });
}

std::size_t expired_daemons::count(const std::string& service, instant now) const
{
    const auto found = since_.find(service);
    if (found == since_.end()) {
        return 0;
    }
    std::size_t number = 0;
    for (const auto& [daemon, since] : found->second) {
        number += now - since <= retention ? 1 : 0;
    }
    return number;
}

} // namespace citronfall
