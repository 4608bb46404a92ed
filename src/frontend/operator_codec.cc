#include "frontend/operator_codec.h"

#include "document_codec/document_codec.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

constexpr std::string_view prefix = "/v1/operator/";

struct operator_route {
    std::string_view method;
    std::string_view name;
    operator_subject subject;
};

constexpr std::array<operator_route, 6> routes{{{"GET", "status", operator_subject::status},
                                                {"GET", "document", operator_subject::document},
                                                {"GET", "overrides", operator_subject::overrides},
                                                {"GET", "groups", operator_subject::groups},
                                                {"GET", "sessions", operator_subject::sessions},
                                                {"POST", "drain", operator_subject::drain}}};

/// Constant-time comparison: always processes all bytes of the expected key.
bool equal_in_constant_time(std::string_view expected, std::string_view given)
{
    unsigned char difference = expected.size() == given.size() ? 0 : 1;
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const char other = given.empty() ? '\0' : given[i % given.size()];
        difference = static_cast<unsigned char>(difference | (expected[i] ^ other));
    }
    return difference == 0;
}

json section_json(const section_status& status)
{
    return {{"section", name(status->section)},
            {"state", status->state},
            {"owner", status->owner},
            {"revision", status->revision},
            {"desired", status->desired},
            {"in_force_on", status->in_force_on},
            {"daemons", status->daemons},
            {"in_force_for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(status->in_force_for).count()},
            {"author", status->author},
            {"reason", status->reason},
            {"time", status->time},
            {"differences", status->differences}};
}

json group_json(const group_status& status)
{
    return {{"group", status->group},     {"primary", status->primary},
            {"term", status->term},       {"applied", status->applied},
            {"weights", status->weights}, {"automation_yields", status->automation_paused}};
}

json body_of(const operator_report& report)
{
    json body{{"daemon", report->daemon}, {"state", report->state}};
    switch (report->subject) {
    case operator_subject::status:
        body["watching"] = report->watching;
        body["daemons"] = report->daemons;
        body["quiet_overrides"] = report->unrecorded_changes;
        body["sections"] = json::array();
        for (const section_status& each : report->sections) {
            body["sections"].push_back(section_json(each));
        }
        return body;
    case operator_subject::document:
        return json::parse(document_codec::encode(report->document));
    case operator_subject::overrides:
        body["overrides"] = json::parse(document_codec::encode(report->document)).at("overrides");
        body["quiet_overrides"] = report->unrecorded_changes;
        return body;
    case operator_subject::groups:
        body["groups"] = json::array();
        for (const group_status& each : report->groups) {
            body["groups"].push_back(group_json(each));
        }
        return body;
    case operator_subject::sessions:
    case operator_subject::drain:
        body["requests_in_progress"] = report->requests_in_progress;
        return body;
    }
    return body;
}

} // namespace

bool operator_codec::serves(const http_request& message)
{
    return message->target.starts_with(prefix);
}

result<report_request> operator_codec::decode(const http_request& message, request_handle handle,
                                              const std::string& key)
{
    const auto header = message->headers.find("citronfall-operator-key");
    const std::string given = header == message->headers.end() ? "" : header->second;
    if (!key.empty() && !equal_in_constant_time(key, given)) {
        return error{
            {.kind = error_kind::unauthorized, .detail = "the operators' interface requires the operators' key"}};
    }
    const std::string wanted = message->target.substr(prefix.size());
    const auto route = std::find_if(routes.begin(), routes.end(), [&](const operator_route& each) {
        return each.name == wanted && each.method == message->method;
    });
    if (route == routes.end()) {
        return error{{.kind = error_kind::bad_request, .detail = "no such resource: " + message->target}};
    }
    return report_request{{.handle = handle, .kind = report_kind::operators, .subject = route->subject}};
}

http_reply operator_codec::encode(const operator_report& report)
{
    return http_reply{{.status = 200,
                       .headers = {{"content-type", "application/json"}},
                       .body = body_of(report).dump(-1, ' ', false, json::error_handler_t::replace) + "\n"}};
}

} // namespace citronfall
