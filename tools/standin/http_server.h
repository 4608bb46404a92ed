#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "http/http_reply.h"
#include "http/http_request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace citronfall::standin {

/// Id of a client's connection, unique within an event loop.
using session_number = std::uint64_t;

/// Sends the reply to a request; may be called later, on the event loop's thread.
using reply_hook = std::function<void(const http_reply&)>;

/// Options of a listening port.
struct http_port_options {
    std::string address; ///< "ip:port"
    std::function<void(session_number, const http_request&, reply_hook)> handle;
    std::function<void(session_number)> closed{}; ///< Called when a connection has ended.
    std::size_t max_connections = 10'000;         ///< Further connections are closed at once.
    duration accept_delay{};                      ///< Delay before the first read on a new connection.
};

/// Single-threaded HTTP server for stand-ins: an event loop with listening ports, connections and timers.
///
/// All hooks are called on the thread that executes run(). Only stop() is thread-safe.
class http_server {
public:
    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Opens a port. Error (bad_request): the address is malformed or in use.
    [[nodiscard]] result<done> listen(http_port_options options);

    /// Closes all connections of a port, and new ones at once, until restore() is called.
    void cut(const std::string& address);

    /// Stops answering on the existing connections of a port, which stay open. New connections are served.
    void silence(const std::string& address);

    /// Undoes cut(). Silenced connections stay silent.
    void restore(const std::string& address);

    /// Number of open connections of a port.
    [[nodiscard]] std::size_t connections(const std::string& address) const;

    /// Calls `action` after `delay`.
    void after(duration delay, std::function<void()> action);

    /// The underlying event loop, for servers of other protocols.
    [[nodiscard]] boost::asio::io_context& loop();

    /// Serves until stop() is called.
    void run();

    /// Makes run() return. Thread-safe.
    void stop();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall::standin
