#include "settings/daemon_settings_reader.h"

#include "core/endpoint_address.h"
#include "json/json_object_reader.h"

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

constexpr std::int64_t hour_ms = 3600 * 1000;

duration read_ms(json_object_reader& source, const std::string& key, duration fallback)
{
    const auto fallback_ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(source.integer(key, {.min = 1, .max = hour_ms, .fallback = fallback_ms}));
}

std::uint32_t read_count(json_object_reader& source, const std::string& key, std::int64_t min, std::int64_t max,
                         std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(source.integer(key, {.min = min, .max = max, .fallback = fallback}));
}

void read_listen(json_object_reader& listen, daemon_settings_fields& fields)
{
    fields.listen = listen.text("address", {.address = true});
    fields.threads = read_count(listen, "threads", 1, 64, fields.threads);
    fields.max_request_bytes =
        read_count(listen, "max_request_bytes", 1024, 16 * 1024 * 1024, fields.max_request_bytes);
    fields.header_timeout = read_ms(listen, "header_timeout_ms", fields.header_timeout);
    fields.body_timeout = read_ms(listen, "body_timeout_ms", fields.body_timeout);
    fields.keep_alive_timeout = read_ms(listen, "keep_alive_timeout_ms", fields.keep_alive_timeout);
}

/// Requires an operator key unless the daemon listens on a loopback address: without a key the operators' interface
/// must not be reachable from other instances.
void check_operator_key(json_object_reader& root, const daemon_settings_fields& fields)
{
    const auto address = endpoint_address::make(fields.listen);
    if (fields.operator_key.empty() && ok(address) && !value_of(address).loopback()) {
        root.add_problem("operator.key", "nothing", "a key, because listen.address is not a loopback address");
    }
}

} // namespace

std::variant<daemon_settings, std::vector<json_problem>> daemon_settings_reader::read(std::string_view text)
{
    const auto source = nlohmann::json::parse(text, nullptr, false);
    std::vector<json_problem> problems;
    if (source.is_discarded()) {
        problems.push_back(json_problem{{.path = "(root)", .found = "malformed JSON", .allowed = "a JSON object"}});
        return problems;
    }
    daemon_settings_fields fields;
    json_object_reader root(source, "", problems);
    root.object("daemon", true, [&fields](json_object_reader& daemon) {
        fields.name = daemon.text("name", {});
        fields.region = daemon.text("region", {});
        fields.data_center = daemon.text("data_center", {});
    });
    root.object("listen", true, [&fields](json_object_reader& listen) { read_listen(listen, fields); });
    root.object("peer", false, [&fields](json_object_reader& peer) {
        fields.peer_listen = peer.has("address") ? peer.text("address", {.address = true}) : "";
        fields.peers = peer.texts("seeds", {.address = true});
    });
    root.object("platform", true, [&fields](json_object_reader& platform) {
        fields.platform = platform.text("address", {.address = true});
    });
    root.object("operator", false, [&fields](json_object_reader& section) {
        fields.operator_key = section.text("key", {.fallback = ""});
    });
    root.object("drain", false, [&fields](json_object_reader& drain) {
        fields.drain_bound = read_ms(drain, "bound_ms", fields.drain_bound);
    });
    check_operator_key(root, fields);
    root.report_unread_keys();
    if (!problems.empty()) {
        return problems;
    }
    return daemon_settings{std::move(fields)};
}

} // namespace citronfall
