#include "standin/platform_model.h"

namespace citronfall::standin {

kv_entry platform_model::read(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? kv_entry{} : found->second;
}

std::optional<kv_entry> platform_model::compare_and_swap(const std::string& key, kv_revision expected,
                                                         const std::string& value)
{
    if (read(key)->revision != expected) {
        return std::nullopt;
    }
    return entries_.insert_or_assign(key, kv_entry{{.revision = ++last_revision_, .value = value}}).first->second;
}

bool platform_model::lease(const std::string& key, const std::string& holder, duration ttl, instant now)
{
    const auto found = leases_.find(key);
    if (found != leases_.end() && found->second.holder != holder && found->second.expires > now) {
        return false;
    }
    leases_.insert_or_assign(key, lease_state{.holder = holder, .expires = now + ttl});
    return true;
}

} // namespace citronfall::standin
