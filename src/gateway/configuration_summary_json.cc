#include "gateway/configuration_summary_json.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

std::int64_t whole_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

duration read_ms(const json& source, const char* key)
{
    return std::chrono::milliseconds(source.at(key).get<std::int64_t>());
}

json to_json(const route& each)
{
    return {{"name", each->name},
            {"database", each->database},
            {"service", each->service},
            {"consistency", static_cast<int>(each->consistency)},
            {"statement_timeout_ms", whole_ms(each->statement_timeout)},
            {"target_latency_ms", whole_ms(each->target_latency)},
            {"max_staleness_ms", whole_ms(each->max_staleness)},
            {"priority", each->priority},
            {"open", each->open}};
}

json to_json(const service_policy& each)
{
    return {{"name", each->name}, {"max_connections", each->max_connections}, {"sync_replicas", each->sync_replicas}};
}

json to_json(const tenant_summary& each)
{
    return {{"name", each->name},
            {"key_fingerprints", each->key_fingerprints},
            {"rate_per_s", each->rate_per_s},
            {"burst", each->burst}};
}

read_consistency read_route_consistency(const json& source)
{
    const int number = source.at("consistency").get<int>();
    if (number < 0 || number > static_cast<int>(read_consistency::read_your_writes)) {
        throw std::out_of_range("unknown consistency");
    }
    return static_cast<read_consistency>(number);
}

configuration_summary from_json(const json& source)
{
    configuration_summary_fields fields{.version = source.at("version").get<std::uint64_t>(),
                                        .idle_transaction_limit = read_ms(source, "idle_transaction_limit_ms")};
    for (const json& each : source.at("routes")) {
        const route value{{.name = each.at("name").get<std::string>(),
                           .database = each.at("database").get<std::string>(),
                           .service = each.at("service").get<std::string>(),
                           .consistency = read_route_consistency(each),
                           .statement_timeout = read_ms(each, "statement_timeout_ms"),
                           .target_latency = read_ms(each, "target_latency_ms"),
                           .max_staleness = read_ms(each, "max_staleness_ms"),
                           .priority = each.at("priority").get<std::uint32_t>(),
                           .open = each.at("open").get<bool>()}};
        fields.routes.emplace(value->database, value);
    }
    for (const json& each : source.at("services")) {
        const service_policy value{{.name = each.at("name").get<std::string>(),
                                    .max_connections = each.at("max_connections").get<std::uint32_t>(),
                                    .sync_replicas = each.at("sync_replicas").get<std::uint32_t>()}};
        fields.services.emplace(value->name, value);
    }
    for (const json& each : source.at("tenants")) {
        const tenant_summary value{{.name = each.at("name").get<std::string>(),
                                    .key_fingerprints = each.at("key_fingerprints").get<std::set<std::string>>(),
                                    .rate_per_s = each.at("rate_per_s").get<double>(),
                                    .burst = each.at("burst").get<double>()}};
        fields.tenants.emplace(value->name, value);
    }
    return configuration_summary{std::move(fields)};
}

} // namespace

std::string configuration_summary_json(const configuration_summary& summary)
{
    json text{{"version", summary->version},
              {"idle_transaction_limit_ms", whole_ms(summary->idle_transaction_limit)},
              {"routes", json::array()},
              {"services", json::array()},
              {"tenants", json::array()}};
    for (const auto& [database, each] : summary->routes) {
        text["routes"].push_back(to_json(each));
    }
    for (const auto& [name, each] : summary->services) {
        text["services"].push_back(to_json(each));
    }
    for (const auto& [name, each] : summary->tenants) {
        text["tenants"].push_back(to_json(each));
    }
    return text.dump() + "\n";
}

result<configuration_summary> read_configuration_summary(std::string_view text)
{
    try {
        return from_json(json::parse(text));
    } catch (const std::exception& problem) {
        return error{
            {.kind = error_kind::bad_request, .detail = std::string("configuration of the daemon: ") + problem.what()}};
    }
}

} // namespace citronfall
