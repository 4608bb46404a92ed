#include "gateway/gateway_engine.h"

namespace citronfall {

/// Name of the tenant that a caller belongs to. Callers of an open route need no key, but a known one counts.
result<std::string> gateway_engine::identify(const route& matched_route, const std::string& key) const
{
    const auto& configuration = directory_->configuration();
    if (!configuration || (*configuration)->tenants.empty()) {
        return std::string{};
    }
    if (const std::string* tenant = keys_.find(key)) {
        return *tenant;
    }
    if (matched_route->open) {
        return std::string{};
    }
    return error{{.kind = error_kind::unknown_key, .detail = matched_route->database}};
}

/// Takes over the keys of a new configuration and ends what callers with withdrawn keys may still do.
void gateway_engine::update_keys(instant now)
{
    const auto& configuration = directory_->configuration();
    if (!configuration || (*configuration)->version == keys_version_) {
        return;
    }
    keys_version_ = (*configuration)->version;
    keys_.assign((*configuration)->tenants);
    sessions_->end_withdrawn_transactions(now);
}

} // namespace citronfall
