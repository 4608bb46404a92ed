#include "gateway/caller_server.h"

#include "gateway/caller_server_impl.h"
#include "socket/socket_options.h"

#include <utility>
#include <vector>

namespace citronfall {
namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

} // namespace

void caller_server::impl::accept(tcp::socket socket)
{
    if (connections_.size() < options_.max_sessions || make_room()) {
        add_connection(std::move(socket));
        return;
    }
    ++ended_[static_cast<std::size_t>(session_end_reason::connection_limit)];
    options_.notify(caller_disconnected{{.reason = session_end_reason::connection_limit}});
}

/// Closes the connection whose caller loses least. Returns false if there is none that may be closed.
bool caller_server::impl::make_room()
{
    std::vector<connection_use> uses;
    uses.reserve(connections_.size());
    for (const auto& [session, connection] : connections_) {
        uses.push_back(connection->use(session));
    }
    const auto evicted = connection_to_evict(uses, steady_now());
    if (evicted) {
        drop(*evicted, session_end_reason::evicted);
    }
    return evicted.has_value();
}

void caller_server::impl::add_connection(tcp::socket socket)
{
    const session_number session = ++last_session_;
    const auto connection =
        std::make_shared<caller_connection>(std::move(socket), options_.make_decoder(session), steady_now());
    set_tcp_options(connection->socket.native_handle(), caller_tcp_timeouts);
    error_code ignored;
    connection->socket.non_blocking(true, ignored);
    connections_.emplace(session, connection);
    update_message_timer(session, connection);
    wait_readable(session, connection);
}

/// Updates what a connection holds. While callers hold too much together, the one that holds the most is disconnected.
void caller_server::impl::account(session_number session, const caller_connection& connection)
{
    if (connections_.contains(session)) {
        input_.set(session, connection.input_bytes());
        output_.set(session, connection.output.size());
    }
    while (const auto worst = input_.worst_offender()) {
        drop(*worst, session_end_reason::input_limit);
    }
    while (const auto worst = output_.worst_offender()) {
        drop(*worst, session_end_reason::unsent_limit);
    }
    input_bytes_ = input_.total();
    output_bytes_ = output_.total();
}

/// Closes a connection and notifies the decision thread, unless that has ended the session itself and nothing is left.
void caller_server::impl::drop(session_number session, session_end_reason reason)
{
    const auto found = connections_.find(session);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    connections_.erase(found);
    input_.set(session, 0);
    output_.set(session, 0);
    ++ended_[static_cast<std::size_t>(reason)];
    connection->reading = false;
    const std::uint64_t unread_bytes = connection->unread_bytes();
    error_code ignored;
    connection->message_timer.cancel(ignored);
    connection->output_timer.cancel(ignored);
    connection->close_timer.cancel(ignored);
    connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
    connection->socket.close(ignored);
    const std::size_t unsent_bytes = std::exchange(connection->output, {}).size();
    if (reason != session_end_reason::caller_left || unread_bytes > 0) {
        options_.notify(caller_disconnected{
            {.session = session, .reason = reason, .unsent_bytes = unsent_bytes, .unread_bytes = unread_bytes}});
    }
}

connections_left caller_server::impl::left() const
{
    connections_left_fields left{.connections = connections_.size()};
    for (const auto& [session, connection] : connections_) {
        left.unsent_bytes += connection->output.size();
        left.unread_bytes += connection->unread_bytes();
    }
    return connections_left{left};
}

std::map<std::string, std::uint64_t> caller_server::impl::counters() const
{
    std::map<std::string, std::uint64_t> all{{"held_bytes{part=\"caller_input\"}", input_bytes_},
                                             {"held_bytes{part=\"caller_output\"}", output_bytes_}};
    for (std::size_t i = 0; i < ended_.size(); ++i) {
        if (ended_[i] > 0) {
            all["caller_connections_ended_total{reason=\"" + std::string(session_end_reason_names[i]) + "\"}"] =
                ended_[i];
        }
    }
    return all;
}

caller_server::caller_server(caller_server_options options) : impl_(std::make_unique<impl>(std::move(options))) {}

caller_server::~caller_server() = default;

result<done> caller_server::open()
{
    return impl_->open();
}

bounded_ring<caller_reply>& caller_server::replies()
{
    return impl_->replies();
}

void caller_server::run()
{
    impl_->run();
}

void caller_server::stop()
{
    impl_->stop();
}

connections_left caller_server::left() const
{
    return impl_->left();
}

std::map<std::string, std::uint64_t> caller_server::counters() const
{
    return impl_->counters();
}

} // namespace citronfall
