#include "config_check/configuration_difference.h"

#include <functional>
#include <set>
#include <utility>

namespace citronfall {
namespace {

using field_texts = std::vector<std::pair<std::string, std::string>>; ///< Names and values of an entry.

std::string ms_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()) + " ms";
}

std::string number_text(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    text.erase(text.find_last_not_of('.') + 1);
    return text;
}

const char* consistency_name(read_consistency consistency)
{
    switch (consistency) {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded_staleness:
        return "bounded_staleness";
    case read_consistency::read_your_writes:
        break;
    }
    return "read_your_writes";
}

std::string joined(const std::set<std::string>& texts)
{
    std::string all;
    for (const std::string& each : texts) {
        all += all.empty() ? each : " " + each;
    }
    return all;
}

field_texts texts_of(const route& value)
{
    return {{"name", value->name},
            {"service", value->service},
            {"consistency", consistency_name(value->consistency)},
            {"statement_timeout", ms_text(value->statement_timeout)},
            {"target_latency", ms_text(value->target_latency)},
            {"max_staleness", ms_text(value->max_staleness)},
            {"priority", std::to_string(value->priority)},
            {"open", value->open ? "yes" : "no"}};
}

field_texts texts_of(const service_policy& value)
{
    return {{"max_connections", std::to_string(value->max_connections)},
            {"sync_replicas", std::to_string(value->sync_replicas)}};
}

field_texts texts_of(const tenant_summary& value)
{
    return {{"keys", joined(value->key_fingerprints)},
            {"rate_per_s", number_text(value->rate_per_s)},
            {"burst", number_text(value->burst)}};
}

field_texts texts_of(const configuration_summary& value)
{
    return {{"version", std::to_string(value->version)},
            {"idle_transaction_limit", ms_text(value->idle_transaction_limit)}};
}

void add_changed(const std::string& subject, const field_texts& before, const field_texts& after,
                 std::vector<configuration_difference>& all)
{
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            all.push_back(configuration_difference{
                {.subject = subject, .field = before[i].first, .before = before[i].second, .after = after[i].second}});
        }
    }
}

template <class Value>
void add_differences(const std::string& kind, const std::map<std::string, Value>& before,
                     const std::map<std::string, Value>& after, std::vector<configuration_difference>& all)
{
    std::set<std::string> names;
    for (const auto& [name, value] : before) {
        names.insert(name);
    }
    for (const auto& [name, value] : after) {
        names.insert(name);
    }
    for (const std::string& name : names) {
        const auto old = before.find(name);
        const auto now = after.find(name);
        const std::string subject = kind + " " + name;
        if (old == before.end()) {
            all.push_back(configuration_difference{{.subject = subject, .after = "added"}});
        } else if (now == after.end()) {
            all.push_back(configuration_difference{{.subject = subject, .before = "removed"}});
        } else {
            add_changed(subject, texts_of(old->second), texts_of(now->second), all);
        }
    }
}

} // namespace

std::vector<configuration_difference> differences(const configuration_summary& before,
                                                  const configuration_summary& after)
{
    std::vector<configuration_difference> all;
    add_changed("configuration", texts_of(before), texts_of(after), all);
    add_differences("route", before->routes, after->routes, all);
    add_differences("service", before->services, after->services, all);
    add_differences("tenant", before->tenants, after->tenants, all);
    return all;
}

} // namespace citronfall
