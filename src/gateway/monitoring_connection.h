#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace citronfall {

/// Answer to a request for monitoring data.
struct monitoring_answer {
    unsigned status = 200;
    std::string body{};
};

/// Hooks and settings of a monitoring connection. The hooks run on the thread of the I/O context.
struct monitoring_connection_options {
    std::function<monitoring_answer(const std::string& path)> answer;
    std::function<void()> closed; ///< Called once, unless close() was called before.
    /// Time for a client to send a request, and to take its answer. Probes come each second.
    duration timeout = std::chrono::seconds(10);
};

/// One HTTP connection on which requests without a body are answered, one after the other. A request that has a body,
/// is too long or malformed ends the connection.
///
/// Pending operations keep the object alive. Not thread-safe: used by the thread of the I/O context.
class monitoring_connection : public std::enable_shared_from_this<monitoring_connection> {
public:
    monitoring_connection(boost::asio::ip::tcp::socket socket, monitoring_connection_options options);

    /// Reads the next request.
    void read();

    /// Closes the socket without calling any further hook.
    void close();

    /// When the last request arrived, or when the connection was accepted.
    [[nodiscard]] instant used_at() const { return used_at_; }

private:
    using request = boost::beast::http::request<boost::beast::http::empty_body>;

    void answer(const request& received);
    void start_timer();
    void end();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    monitoring_connection_options options_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::empty_body>> parser_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    instant used_at_ = steady_now();
    bool closed_ = false;
};

} // namespace citronfall
