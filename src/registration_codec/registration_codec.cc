#include "registration_codec/registration_codec.h"

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

error unreadable(std::string_view key, const char* why)
{
    return error{{.kind = error_kind::bad_request, .detail = "entry " + std::string(key) + ": " + why}};
}

} // namespace

std::string registration_codec::encode(const daemon_registration& entry)
{
    return json{{"peer_address", entry->peer_address},
                {"data_center", entry->data_center},
                {"capacity", entry->capacity},
                {"incarnation", entry->incarnation}}
        .dump();
}

result<daemon_registration> registration_codec::read_daemon(std::string_view name, std::string_view value)
{
    try {
        const json source = json::parse(value);
        return daemon_registration{{.name = std::string(name),
                                    .peer_address = source.at("peer_address").get<std::string>(),
                                    .data_center = source.at("data_center").get<std::string>(),
                                    .capacity = source.value("capacity", default_processor_cores),
                                    .incarnation = source.at("incarnation").get<std::uint64_t>()}};
    } catch (const json::exception& problem) {
        return unreadable(name, problem.what());
    }
}

std::string registration_codec::encode(const failover_lock& entry)
{
    return json{{"holder", entry->holder}, {"incarnation", entry->incarnation}}.dump();
}

result<failover_lock> registration_codec::read_failover_lock(std::string_view service, std::string_view value)
{
    try {
        const json source = json::parse(value);
        return failover_lock{{.service = std::string(service),
                              .holder = source.at("holder").get<std::string>(),
                              .incarnation = source.at("incarnation").get<std::uint64_t>()}};
    } catch (const json::exception& problem) {
        return unreadable(service, problem.what());
    }
}

} // namespace citronfall
