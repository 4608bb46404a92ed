#include "peer/peer_command_producer.h"

namespace citronfall {
namespace {

bool is_digest(const peer_service_command& command)
{
    const auto* outgoing = std::get_if<outgoing_peer_message>(&command);
    return outgoing != nullptr && (std::holds_alternative<store_digest>((*outgoing)->message) ||
                                   std::holds_alternative<peer_digest>((*outgoing)->message));
}

} // namespace

void peer_command_producer::push(const peer_service_command& command)
{
    if (is_digest(command)) {
        static_cast<void>(producer_.try_push(command));
    } else {
        producer_.push(command);
    }
}

} // namespace citronfall
