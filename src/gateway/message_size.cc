#include "gateway/message_size.h"

#include <numeric>

namespace citronfall {
namespace {

std::size_t size_of_rows(const std::vector<std::string>& rows)
{
    return std::accumulate(rows.begin(), rows.end(), std::size_t{0}, [](std::size_t sum, const std::string& row) {
        return sum + row.size() + sizeof(std::string);
    });
}

std::size_t size_of_statement(const parsed_statement& statement)
{
    return statement->text.size() + statement->name.size() + statement->argument.size();
}

std::size_t size_of_message(const peer_message& message)
{
    if (const auto* statement = std::get_if<relayed_statement>(&message)) {
        return size_of_statement((*statement)->request->query);
    }
    if (const auto* outcome = std::get_if<relayed_outcome>(&message)) {
        return size_of_rows((*outcome)->outcome->rows);
    }
    if (const auto* changes = std::get_if<store_changes>(&message)) {
        std::size_t sum = 0;
        for (const store_item& each : (*changes)->items) {
            sum += each->key.size() + each->value.size();
        }
        return sum;
    }
    return 0;
}

} // namespace

std::size_t size_of(const caller_event& event)
{
    const auto* statement = std::get_if<caller_statement>(&event);
    return statement == nullptr ? 0 : size_of_statement((*statement)->query);
}

std::size_t size_of(const gateway_event& event)
{
    if (const auto* caller = std::get_if<caller_event>(&event)) {
        return size_of(*caller);
    }
    if (const auto* member = std::get_if<member_event>(&event)) {
        const auto* reply = std::get_if<member_reply>(member);
        return reply == nullptr ? 0 : size_of_rows((*reply)->rows);
    }
    const auto* peer = std::get_if<peer_event>(&event);
    return peer == nullptr ? 0 : size_of_message((*peer)->message);
}

std::size_t size_of(const caller_reply& reply)
{
    const auto* answer = std::get_if<statement_reply>(&reply);
    return answer == nullptr ? 0 : size_of_rows((*answer)->rows);
}

std::size_t size_of(const peer_service_command& command)
{
    const auto* outgoing = std::get_if<outgoing_peer_message>(&command);
    return outgoing == nullptr ? 0 : size_of_message((*outgoing)->message);
}

} // namespace citronfall
