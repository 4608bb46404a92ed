#include "gateway/report_json.h"

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

json to_ms(const std::optional<duration>& value)
{
    return value ? json(std::chrono::duration_cast<std::chrono::milliseconds>(*value).count()) : json();
}

json to_json(const reported_service& each)
{
    return {{"service", each.name},
            {"leader", each.leader},
            {"term", each.term},
            {"evidence_age_ms", to_ms(each.evidence_age)},
            {"leaderless_for_ms", to_ms(each.leaderless_for)},
            {"duty_holder", each.failover_lock_holder},
            {"reached", each.direct},
            {"waiting", each.waiting}};
}

json to_json(const reported_member& each)
{
    return {{"member", each.id},
            {"service", each.service},
            {"address", each.address},
            {"reach", each.reachability},
            {"leads", each.leads},
            {"draining", each.draining},
            {"listed", each.listed},
            {"connections", each.connections},
            {"idle", each.idle},
            {"running", each.running},
            {"allowance", each.allowance ? json(*each.allowance) : json()}};
}

json to_json(const reported_quota& each)
{
    return {{"tenant", each.tenant},   {"rate_per_s", each.rate_per_s}, {"burst", each.burst},
            {"holders", each.holders}, {"admitted", each.admitted},     {"refused", each.refused},
            {"waiting", each.waiting}};
}

json to_json(const reported_quota_part& each)
{
    return {{"tenant", each.tenant},
            {"part", each.part},
            {"level", each.level},
            {"granted", each.granted},
            {"declined", each.declined}};
}

} // namespace

std::string report_json(const gateway_report& report)
{
    json text{{"daemon", report->daemon},
              {"ready", report->ready},
              {"configuration_version", report->configuration_version},
              {"routes", report->routes},
              {"sessions", report->sessions},
              {"statements", report->statements},
              {"daemons", report->daemons},
              {"peers", report->peers},
              {"services", json::array()},
              {"members", json::array()},
              {"quotas", json::array()},
              {"quota_parts", json::array()}};
    for (const reported_service& each : report->services) {
        text["services"].push_back(to_json(each));
    }
    for (const reported_member& each : report->members) {
        text["members"].push_back(to_json(each));
    }
    for (const reported_quota& each : report->quotas) {
        text["quotas"].push_back(to_json(each));
    }
    for (const reported_quota_part& each : report->quota_parts) {
        text["quota_parts"].push_back(to_json(each));
    }
    return text.dump() + "\n";
}

} // namespace citronfall
