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

/// Number of a client's connection, unique within one event loop.
using session_number = std::uint64_t;

/// Sends the reply to one request; may be called later, on the event loop's thread.
using reply_hook = std::function<void(const http_reply&)>;

/// What a listening port does.
struct http_port_options {
    std::string address; ///< "ip:port"
    std::function<void(session_number, const http_request&, reply_hook)> handle;
    std::function<void(session_number)> closed{}; ///< A connection has ended.
    std::size_t max_connections = 10'000;         ///< Further connections are closed at once.
    duration accept_delay{};                      ///< Time that setting up a connection takes.
};

/// Single-threaded HTTP event loop for stand-ins: ports, timers and connections.
///
/// All hooks run on the thread that calls run(). Only stop() is thread-safe.
class http_server {
public:
    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Opens a port. Error (bad_request): the address is malformed or taken.
    [[nodiscard]] result<done> listen(http_port_options options);

    /// Drops all connections of a port and refuses new ones, until restore().
    void cut(const std::string& address);

    /// Keeps connections and accepts new ones, but neither reads nor answers on the connections that exist now.
    void silence(const std::string& address);

    /// Ends a cut. Silenced connections stay silent for good.
    void restore(const std::string& address);

    /// Number of open connections of a port.
    [[nodiscard]] std::size_t connections(const std::string& address) const;

    /// Calls `action` after `delay`.
    void after(duration delay, std::function<void()> action);

    /// The loop itself, for ports of other protocols.
    [[nodiscard]] boost::asio::io_context& loop();

    /// Serves until stop() is called.
    void run();

    /// Makes run() return. Thread-safe.
    void stop();

private:
    class parts;

    std::unique_ptr<parts> parts_;
};

} // namespace citronfall::standin
