#include "socket/tcp_listener.h"

#include "citronfall/instant.h"
#include "core/endpoint_address.h"

#include <utility>

namespace citronfall {
namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr duration retry_delay = std::chrono::milliseconds(20);

} // namespace

tcp_listener::tcp_listener(boost::asio::io_context& context) : acceptor_(context), retry_timer_(context) {}

result<done> tcp_listener::open(const std::string& address)
{
    const auto parsed = endpoint_address::make(address);
    if (!ok(parsed)) {
        return error_of(parsed);
    }
    error_code code;
    const auto host = boost::asio::ip::make_address(value_of(parsed)->host, code);
    const tcp::endpoint endpoint(host, value_of(parsed)->port);
    if (!code) {
        acceptor_.open(endpoint.protocol(), code);
    }
    if (!code) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
        acceptor_.bind(endpoint, code);
    }
    if (!code) {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return error{{.kind = error_kind::bad_request, .detail = address + ": " + code.message()}};
    }
    return done{};
}

void tcp_listener::accept(std::function<void(tcp::socket)> accepted)
{
    accepted_ = std::move(accepted);
    if (acceptor_.is_open()) {
        accept_next();
    }
}

void tcp_listener::accept_next()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!code) {
            accepted_(std::move(socket));
            accept_next();
            return;
        }
        retry_timer_.expires_after(retry_delay);
        retry_timer_.async_wait([this](error_code cancelled) {
            if (!cancelled && acceptor_.is_open()) {
                accept_next();
            }
        });
    });
}

void tcp_listener::close()
{
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel(ignored);
}

} // namespace citronfall
