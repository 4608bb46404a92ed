#include "kv_service/http_platform.h"

#include "http/http_client.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

error bad_response(const std::string& what)
{
    return error{{.kind = error_kind::outcome_unknown, .detail = "platform: " + what}};
}

result<json> call(http_client& client, const http_request& request, instant deadline, int& status)
{
    const auto reply = client.call(request, deadline);
    if (!ok(reply)) {
        return error_of(reply);
    }
    status = value_of(reply)->status;
    json body = json::parse(value_of(reply)->body, nullptr, false);
    if (body.is_discarded() || (status != 200 && status != 409)) {
        return bad_response("status " + std::to_string(status));
    }
    return body;
}

result<kv_entry> read_entry(const result<json>& body)
{
    if (!ok(body)) {
        return error_of(body);
    }
    try {
        const json& source = value_of(body);
        return kv_entry{{.revision = source.at("revision"), .value = source.at("value")}};
    } catch (const json::exception& problem) {
        return bad_response(problem.what());
    }
}

template <class T, class Read>
result<T> read_field(const result<json>& body, Read read)
{
    if (!ok(body)) {
        return error_of(body);
    }
    try {
        return read(value_of(body));
    } catch (const json::exception& problem) {
        return bad_response(problem.what());
    }
}

} // namespace

result<platform_hooks> make_http_platform(const http_platform_options& options)
{
    auto made = http_client::make({.address = options.address});
    if (!ok(made)) {
        return error_of(made);
    }
    const auto client = std::make_shared<http_client>(take(std::move(made)));
    platform_hooks hooks;
    hooks.kv_read = [client](const std::string& key, instant deadline) {
        int status = 0;
        return read_entry(call(*client, http_request{{.target = "/kv/" + key}}, deadline, status));
    };
    hooks.kv_compare_and_swap = [client](const std::string& key, kv_revision expected, const std::string& value,
                                         instant deadline) -> result<kv_entry> {
        const json body{{"expected_revision", expected}, {"value", value}};
        int status = 0;
        const auto reply = call(*client, http_request{{.method = "POST", .target = "/kv/" + key, .body = body.dump()}},
                                deadline, status);
        if (ok(reply) && status == 409) {
            return error{{.kind = error_kind::conflict, .detail = "revision of " + key + " differs"}};
        }
        return read_field<kv_entry>(reply, [&value](const json& source) {
            return kv_entry{{.revision = source.at("revision"), .value = value}};
        });
    };
    hooks.kv_lease = [client](const std::string& key, const std::string& holder, duration ttl, instant deadline) {
        const auto ttl_ms = std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count();
        const json body{{"holder", holder}, {"ttl_ms", ttl_ms}};
        int status = 0;
        return read_field<bool>(call(*client,
                                     http_request{{.method = "POST", .target = "/lease/" + key, .body = body.dump()}},
                                     deadline, status),
                                [](const json& reply) { return reply.at("held").get<bool>(); });
    };
    hooks.kv_watch = [client](const std::string& key, kv_revision after, instant deadline) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_now()).count();
        // The service responds slightly before the deadline so that its reply arrives in time.
        const auto wait_ms = wait > 100 ? wait - 100 : 0;
        int status = 0;
        return read_entry(call(*client,
                               http_request{{.target = "/watch/" + key + "?after=" + std::to_string(after) +
                                                       "&wait_ms=" + std::to_string(wait_ms)}},
                               deadline, status));
    };
    hooks.instance_list = [client](instant deadline) {
        int status = 0;
        return read_field<std::vector<std::string>>(
            call(*client, http_request{{.target = "/instances"}}, deadline, status),
            [](const json& reply) { return reply.at("instances").get<std::vector<std::string>>(); });
    };
    return hooks;
}

} // namespace citronfall
