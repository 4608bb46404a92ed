#include "peer/peer_service.h"

#include "peer/peer_codec.h"
#include "peer/peer_service_impl.h"

#include <utility>

namespace citronfall {
namespace {

/// Whether a caller waits for the effect of the message. The other messages are sent again or replaced by later ones.
bool is_relayed_work(const peer_message& message)
{
    return std::holds_alternative<relayed_statement>(message) || std::holds_alternative<relayed_outcome>(message) ||
           std::holds_alternative<relayed_end>(message);
}

/// Answer to a statement that was not sent, as if the peer had refused to run it.
relayed_outcome refusal_of(const relayed_statement& statement)
{
    const bool alone = statement->request->kind == transaction_step::autocommit;
    return relayed_outcome{
        {.number = statement->number,
         .outcome = task_outcome{
             {.failure = error{{.kind = error_kind::overloaded, .detail = "no room for the statement between daemons"}},
              .state = alone ? transaction_state::none : transaction_state::failed}}}};
}

/// The outcome of a statement whose answer is not sent.
relayed_outcome without_rows(const relayed_outcome& outcome)
{
    return with(outcome, [](relayed_outcome_fields& fields) {
        fields.outcome = with(fields.outcome, [](task_outcome_fields& answer) {
            answer.rows.clear();
            answer.receipt.clear();
            answer.failure =
                error{{.kind = error_kind::statement_failed, .detail = "no room for the answer between daemons"}};
        });
    });
}

} // namespace

void peer_service::impl::process_commands()
{
    processing_posted_ = false;
    while (const auto command = commands_.try_pop()) {
        std::visit([this](const auto& each) { handle(each); }, *command);
    }
}

void peer_service::impl::handle(const outgoing_peer_message& command)
{
    const std::string body = peer_codec::encode(command->message);
    if (command->to.empty()) {
        for (const auto& [daemon, links] : peers_) {
            static_cast<void>(send(daemon, body));
        }
    } else if (!send(command->to, body) && is_relayed_work(command->message) && !replace(command, body)) {
        close_links(command->to, peer_close_reason::overloaded);
    }
}

/// Ends relayed work whose message is too long to be queued at present as a failure of its statement only. Returns
/// false if it does not end so.
bool peer_service::impl::replace(const outgoing_peer_message& command, const std::string& body)
{
    if (!peers_.contains(command->to) || !peer_connection::is_long(body)) {
        return false;
    }
    if (const auto* statement = std::get_if<relayed_statement>(&command->message)) {
        options_.notify(
            peer_event{{.from = command->to, .kind = peer_event_kind::received, .message = refusal_of(*statement)}});
        return true;
    }
    const auto* outcome = std::get_if<relayed_outcome>(&command->message);
    return outcome != nullptr && send(command->to, peer_codec::encode(without_rows(*outcome)));
}

/// Returns whether the message was queued.
bool peer_service::impl::send(const std::string& daemon, const std::string& body)
{
    const auto peer = peers_.find(daemon);
    const bool queued =
        peer != peers_.end() && has_room(body) && links_.at(*peer->second.begin()).connection->send(body);
    counters_.dropped += queued ? 0 : 1;
    return queued;
}

/// Whether the long messages that wait on all connections leave room for this one.
bool peer_service::impl::has_room(const std::string& body) const
{
    if (!peer_connection::is_long(body)) {
        return true;
    }
    std::size_t waiting = body.size();
    for (const auto& [number, each] : links_) {
        waiting += each.connection->long_bytes();
    }
    return waiting <= options_.max_output_bytes;
}

/// Closes the connections to a daemon, so that both sides learn that what is relayed over them is lost.
void peer_service::impl::close_links(const std::string& daemon, peer_close_reason reason)
{
    const auto peer = peers_.find(daemon);
    if (peer == peers_.end()) {
        return;
    }
    const std::set<std::uint64_t> numbers = peer->second;
    for (const std::uint64_t number : numbers) {
        links_.at(number).connection->close();
        handle_close(number, reason);
    }
}

std::map<std::string, std::uint64_t> peer_service::impl::counters() const
{
    return {{"peer_frames_sent_total", counters_.frames_sent},
            {"peer_frames_received_total", counters_.frames_received},
            {"peer_bytes_sent_total", counters_.bytes_sent},
            {"peer_bytes_received_total", counters_.bytes_received},
            {"peer_bad_frames_total", counters_.bad_frames},
            {"peer_messages_dropped_total", counters_.dropped},
            {"peer_connections_opened_total", counters_.opened},
            {"peer_connections_accepted_total", counters_.accepted},
            {"peer_connections_lost_total", counters_.lost},
            {"peer_connections_refused_total", counters_.refused},
            {"held_bytes{part=\"peer_input\"}", counters_.held_bytes}};
}

peer_service::peer_service(peer_service_options options) : impl_(std::make_unique<impl>(std::move(options))) {}

peer_service::~peer_service() = default;

result<done> peer_service::open()
{
    return impl_->open();
}

bounded_ring<peer_service_command>& peer_service::commands()
{
    return impl_->commands();
}

void peer_service::run()
{
    impl_->run();
}

void peer_service::stop()
{
    impl_->stop();
}

std::map<std::string, std::uint64_t> peer_service::counters() const
{
    return impl_->counters();
}

} // namespace citronfall
