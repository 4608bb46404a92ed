#include "gateway/caller_connection.h"

#include <utility>

#include <boost/asio/buffer.hpp>

namespace citronfall {
namespace {

using error_code = boost::system::error_code;

/// Times that a statement without an answer is held: by the session, by the statement in progress, encoded for a member
/// and on its way between two threads.
constexpr std::size_t copies_of_statement = 4;

} // namespace

caller_connection::caller_connection(boost::asio::ip::tcp::socket accepted, caller_decoder made_decoder, instant now)
    : socket(std::move(accepted)), message_timer(socket.get_executor()), output_timer(socket.get_executor()),
      close_timer(socket.get_executor()), decoder(std::move(made_decoder)), used_at(now), sent_at(now)
{
}

void caller_connection::add_unanswered(std::size_t bytes)
{
    unanswered_.push_back(bytes);
    unanswered_bytes_ += bytes;
}

void caller_connection::remove_unanswered()
{
    if (!unanswered_.empty()) {
        unanswered_bytes_ -= unanswered_.front();
        unanswered_.pop_front();
    }
}

std::size_t caller_connection::input_bytes() const
{
    return decoder.pending() + copies_of_statement * unanswered_bytes_;
}

std::size_t caller_connection::unread_bytes() const
{
    error_code ignored;
    return decoder.pending() + socket.available(ignored);
}

error_code caller_connection::send_some(instant now)
{
    while (!output.empty()) {
        error_code code;
        const std::string_view bytes = output.front();
        const std::size_t count = socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), code);
        if (code) {
            return code;
        }
        output.remove(count);
        sent_at = now;
    }
    return {};
}

connection_use caller_connection::use(std::uint64_t number) const
{
    const bool busy = !unanswered_.empty() || !output.empty() || in_transaction;
    return connection_use{
        {.number = number, .started = started, .receiving = decoder.pending() > 0, .busy = busy, .used_at = used_at}};
}

} // namespace citronfall
