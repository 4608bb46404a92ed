#include "http/http_client.h"

#include "core/endpoint_address.h"
#include "http/http_message.h"

#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace citronfall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// Values of the platform have at most 1 MB; JSON escaping can nearly double their size.
constexpr std::uint64_t max_reply_bytes = 4 * 1024 * 1024;

} // namespace

class http_client::impl {
public:
    explicit impl(endpoint_address address)
        : address_(std::move(address)), endpoint_(boost::asio::ip::make_address(address_->host), address_->port)
    {
    }

    result<http_reply> call(const http_request& request, instant deadline);

private:
    bool connect(instant deadline);
    void run();

    endpoint_address address_;
    tcp::endpoint endpoint_;
    boost::asio::io_context context_;
    std::optional<beast::tcp_stream> stream_;
};

bool http_client::impl::connect(instant deadline)
{
    if (stream_) {
        return true;
    }
    stream_.emplace(context_);
    stream_->expires_at(deadline);
    beast::error_code problem;
    stream_->async_connect(endpoint_, [&problem](beast::error_code code) { problem = code; });
    run();
    if (problem) {
        stream_.reset();
        return false;
    }
    beast::error_code ignored;
    stream_->socket().set_option(tcp::no_delay(true), ignored);
    return true;
}

/// Runs the pending operation to completion; the expiry of the stream limits its duration.
void http_client::impl::run()
{
    context_.restart();
    context_.run();
}

result<http_reply> http_client::impl::call(const http_request& request, instant deadline)
{
    if (!connect(deadline)) {
        return error{{.kind = error_kind::connect_failed, .detail = "cannot connect to " + address_.text()}};
    }
    auto message = http_message(request, address_.text());
    stream_->expires_at(deadline);
    beast::error_code problem;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    http::async_write(*stream_, message, [&](beast::error_code code, std::size_t) {
        problem = code;
        if (!code) {
            http::async_read(*stream_, buffer, parser,
                             [&problem](beast::error_code read, std::size_t) { problem = read; });
        }
    });
    run();
    if (problem) {
        stream_.reset();
        return error{{.kind = error_kind::outcome_unknown,
                      .detail = "no reply from " + address_.text() + ": " + problem.message()}};
    }
    auto reply = parser.release();
    if (!reply.keep_alive()) {
        stream_.reset();
    }
    return http_reply_of(reply);
}

result<http_client> http_client::make(const http_client_options& options)
{
    auto address = endpoint_address::make(options.address);
    if (!ok(address)) {
        return error_of(address);
    }
    return http_client{std::make_unique<impl>(take(std::move(address)))};
}

http_client::http_client(std::unique_ptr<impl> all) : impl_(std::move(all)) {}
http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

result<http_reply> http_client::call(const http_request& request, instant deadline)
{
    return impl_->call(request, deadline);
}

} // namespace citronfall
