#include "gateway/monitoring_connection.h"

#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace citronfall {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// A request of a probe or of an operator's tool has a few hundred bytes.
constexpr std::uint32_t max_header_bytes = 4096;
constexpr std::size_t max_buffered_bytes = 2 * max_header_bytes;

constexpr unsigned http_version = 11;

} // namespace

monitoring_connection::monitoring_connection(tcp::socket socket, monitoring_connection_options options)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), options_(std::move(options)),
      buffer_(max_buffered_bytes)
{
}

void monitoring_connection::read()
{
    parser_.emplace();
    parser_->header_limit(max_header_bytes);
    parser_->body_limit(std::uint64_t{0});
    start_timer();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code code, std::size_t) {
        if (code) {
            self->end();
        } else if (!self->closed_) {
            self->used_at_ = steady_now();
            self->answer(self->parser_->get());
        }
    });
}

void monitoring_connection::answer(const request& received)
{
    const std::string target(received.target());
    monitoring_answer answer = options_.answer(target.substr(0, target.find('?')));
    response_ = {static_cast<http::status>(answer.status), http_version};
    response_.keep_alive(received.keep_alive());
    response_.body() = std::move(answer.body);
    response_.prepare_payload();
    start_timer();
    http::async_write(socket_, response_, [self = shared_from_this()](error_code code, std::size_t) {
        if (code || !self->response_.keep_alive()) {
            self->end();
        } else if (!self->closed_) {
            self->read();
        }
    });
}

void monitoring_connection::start_timer()
{
    timer_.expires_after(options_.timeout);
    timer_.async_wait([self = shared_from_this()](error_code code) {
        if (!code) {
            self->end();
        }
    });
}

void monitoring_connection::end()
{
    if (!closed_) {
        close();
        options_.closed();
    }
}

void monitoring_connection::close()
{
    closed_ = true;
    error_code ignored;
    timer_.cancel(ignored);
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

} // namespace citronfall
