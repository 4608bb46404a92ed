#include "config_check/configuration_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace citronfall {
namespace {

std::string number_text(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    text.erase(text.find_last_not_of('.') + 1);
    return text;
}

std::int64_t whole_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Collects the findings of one document.
class checker {
public:
    checker(const configuration_document& document, const deployment_assumptions& assumptions)
        : document_(document), assumptions_(assumptions), findings_(document->problems)
    {
    }

    std::vector<config_finding> check()
    {
        check_services();
        check_routes();
        check_tenants();
        check_tenant_count();
        std::stable_sort(findings_.begin(), findings_.end(), [](const config_finding& a, const config_finding& b) {
            return a->place.line < b->place.line;
        });
        return std::move(findings_);
    }

private:
    template <class Entry>
    void add(finding_severity severity, finding_kind kind, const Entry& entry, document_field field,
             const std::string& detail)
    {
        const auto& places = entry->places;
        const auto found = places.contains(field) ? places.find(field) : places.find(document_field::entry);
        findings_.push_back(config_finding{{.severity = severity,
                                            .kind = kind,
                                            .place = found == places.end() ? document_place{} : found->second,
                                            .detail = detail}});
    }

    void check_services()
    {
        std::set<std::string> used;
        for (const auto& each : document_->routes) {
            used.insert(each->value->service);
        }
        for (const auto& each : document_->services) {
            const std::string& name = each->value->name;
            if (!services_.insert(name).second) {
                add(finding_severity::error, finding_kind::duplicate_name, each, document_field::name,
                    "service " + name + " is listed twice");
            } else if (!used.contains(name)) {
                add(finding_severity::warning, finding_kind::unused_service, each, document_field::name,
                    "no route leads to service " + name);
            }
        }
    }

    void check_routes()
    {
        std::map<std::string, std::string> first_with; // Route, by database.
        for (const auto& each : document_->routes) {
            const route& value = each->value;
            const auto [first, added] = first_with.emplace(value->database, value->name);
            if (!added) {
                add(finding_severity::error, finding_kind::duplicate_database, each, document_field::database,
                    "route " + value->name + " never matches: route " + first->second + " has database " +
                        value->database + " as well");
            }
            if (!services_.contains(value->service)) {
                add(finding_severity::error, finding_kind::unlisted_service, each, document_field::service,
                    "route " + value->name + " leads to service " + value->service + ", which is not listed");
            }
            if (value->statement_timeout > duration{} && value->statement_timeout < value->target_latency) {
                add(finding_severity::warning, finding_kind::timeout_below_target, each,
                    document_field::statement_timeout,
                    "route " + value->name + " ends statements after " +
                        std::to_string(whole_ms(value->statement_timeout)) + " ms, before its target of " +
                        std::to_string(whole_ms(value->target_latency)) + " ms");
            }
        }
    }

    void check_tenants()
    {
        std::set<std::string> names;
        std::map<std::string, std::string> holders; // Tenant, by key.
        const double capacity = operations_of_all_members();
        for (const auto& each : document_->tenants) {
            const tenant_policy& value = each->value;
            if (!names.insert(value->name).second) {
                add(finding_severity::error, finding_kind::duplicate_name, each, document_field::name,
                    "tenant " + value->name + " is listed twice");
            }
            check_keys(each, holders);
            if (value->rate_per_s > 0 && value->burst < 1) {
                add(finding_severity::warning, finding_kind::burst_below_one, each, document_field::burst,
                    "tenant " + value->name + " has a burst of " + number_text(value->burst) +
                        ", less than one operation");
            }
            if (capacity > 0 && value->rate_per_s > capacity) {
                add(finding_severity::warning, finding_kind::quota_above_capacity, each, document_field::rate,
                    "tenant " + value->name + " may do " + number_text(value->rate_per_s) +
                        " operations a second, more than all members together (" + number_text(capacity) + ")");
            }
        }
    }

    void check_keys(const document_entry<tenant_policy>& tenant, std::map<std::string, std::string>& holders)
    {
        const std::string& name = tenant->value->name;
        if (tenant->value->keys.empty()) {
            add(finding_severity::warning, finding_kind::tenant_without_keys, tenant, document_field::name,
                "tenant " + name + " has no key, so no caller can be it");
        }
        for (std::size_t i = 0; i < tenant->value->keys.size(); ++i) {
            const auto [holder, added] = holders.emplace(tenant->value->keys[i], name);
            if (!added && holder->second != name) {
                add(finding_severity::error, finding_kind::shared_key, tenant, document_field::keys,
                    "key " + std::to_string(i + 1) + " of tenant " + name + " is also a key of tenant " +
                        holder->second);
            }
        }
    }

    void check_tenant_count()
    {
        for (const auto& each : document_->services) {
            const std::uint32_t limit = each->value->max_connections;
            if (limit > 0 && document_->tenants.size() > limit) {
                add(finding_severity::warning, finding_kind::tenants_above_limit, each, document_field::max_connections,
                    "a member of service " + each->value->name + " accepts " + std::to_string(limit) +
                        " connections, fewer than the " + std::to_string(document_->tenants.size()) +
                        " tenants, each of which needs one of its own");
            }
        }
    }

    /// Operations a second that the connections of all members carry at most; 0 if a service has no limit.
    [[nodiscard]] double operations_of_all_members() const
    {
        double connections = 0;
        for (const auto& each : document_->services) {
            if (each->value->max_connections == 0) {
                return 0;
            }
            connections += each->value->max_connections;
        }
        return connections * static_cast<double>(assumptions_.members_per_service) *
               assumptions_.operations_per_connection_s;
    }

    const configuration_document& document_;
    const deployment_assumptions& assumptions_;
    std::vector<config_finding> findings_;
    std::set<std::string> services_;
};

} // namespace

std::vector<config_finding> check_configuration(const configuration_document& document,
                                                const deployment_assumptions& assumptions)
{
    return checker(document, assumptions).check();
}

std::optional<config_finding> check_version(const configuration_document& document,
                                            const configuration_summary& present)
{
    if (document->version > present->version) {
        return std::nullopt;
    }
    return config_finding{{.severity = finding_severity::error,
                           .kind = finding_kind::version_not_higher,
                           .place = document->version_place,
                           .detail = "version " + std::to_string(document->version) + " is not above " +
                                     std::to_string(present->version) + ", so daemons would ignore it"}};
}

} // namespace citronfall
