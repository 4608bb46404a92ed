#pragma once

#include "citronfall/result.h"

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronfall {

/// Accepts connections at an address.
///
/// Not thread-safe: used on the thread that runs the event loop, or before it runs. Precondition: outlives the loop's
/// handlers.
class tcp_listener {
public:
    explicit tcp_listener(boost::asio::io_context& context);

    /// Binds the address and listens. Error (bad_request): the address is malformed or in use.
    [[nodiscard]] result<done> open(const std::string& address);

    /// Accepts connections until close() is called. Without effect if the listener is not open. An accept that fails is
    /// repeated after a delay, since it would fail again at once while descriptors are exhausted.
    void accept(std::function<void(boost::asio::ip::tcp::socket)> accepted);

    void close();

private:
    void accept_next();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    std::function<void(boost::asio::ip::tcp::socket)> accepted_;
};

} // namespace citronfall
