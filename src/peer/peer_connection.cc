#include "peer/peer_connection.h"

#include "peer/peer_codec.h"
#include "socket/socket_options.h"

#include <exception>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace citronfall {
namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// Room for two frames of maximum size. A slower peer gets missed changes through the exchange of digests; if relayed
/// work does not fit, the connection is closed.
constexpr std::size_t max_queued_bytes = 2 * (peer_codec::max_frame_bytes + 4);

/// Frames that one system call writes.
constexpr std::size_t max_frames_per_write = 16;

using clock = asio::steady_timer::clock_type;

std::string frame(const std::string& body)
{
    std::string bytes;
    bytes.reserve(body.size() + 4);
    for (unsigned shift = 0; shift < 32; shift += 8) {
        bytes.push_back(static_cast<char>((body.size() >> shift) & 0xFFU));
    }
    return bytes + body;
}

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket, peer_connection_options options)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), keepalive_timer_(socket_.get_executor()),
      options_(std::move(options))
{
}

void peer_connection::connect(const asio::ip::tcp::endpoint& target, duration timeout)
{
    start_timer(timeout, peer_close_reason::connect_failed);
    socket_.async_connect(target, [self = shared_from_this()](error_code code) {
        if (self->closed_) {
            return;
        }
        if (code) {
            self->close_with(peer_close_reason::connect_failed);
            return;
        }
        self->start();
    });
}

void peer_connection::start()
{
    connected_ = true;
    set_tcp_options(socket_.native_handle(), peer_tcp_timeouts);
    received_at_ = clock::now();
    sent_at_ = received_at_;
    await_receive_timeout();
    read_length();
    write_next();
    start_keepalive();
}

bool peer_connection::send(const std::string& body)
{
    if (closed_ || queued_bytes_ + body.size() > max_queued_bytes) {
        return false;
    }
    queue_.push_back(frame(body));
    queued_bytes_ += queue_.back().size();
    write_next();
    return true;
}

void peer_connection::close()
{
    closed_ = true;
    error_code ignored;
    timer_.cancel(ignored);
    keepalive_timer_.cancel(ignored);
    socket_.close(ignored);
}

/// One timer for all frames: restarting it with each would cost a system call a frame.
void peer_connection::await_receive_timeout()
{
    timer_.expires_at(received_at_ + options_.receive_timeout);
    timer_.async_wait([self = shared_from_this()](error_code code) {
        if (code || self->closed_) {
            return;
        }
        if (clock::now() >= self->received_at_ + self->options_.receive_timeout) {
            self->close_with(peer_close_reason::timed_out);
        } else {
            self->await_receive_timeout();
        }
    });
}

void peer_connection::read_length()
{
    asio::async_read(socket_, asio::buffer(length_), [self = shared_from_this()](error_code code, std::size_t) {
        if (self->closed_) {
            return;
        }
        if (code) {
            self->close_with(peer_close_reason::lost);
            return;
        }
        std::size_t length = 0;
        for (std::size_t i = 0; i < self->length_.size(); ++i) {
            length |= static_cast<std::size_t>(self->length_[i]) << (8 * i);
        }
        if (length == 0 || length > peer_codec::max_frame_bytes) {
            self->close_with(peer_close_reason::bad_frame);
            return;
        }
        self->read_body(length);
    });
}

void peer_connection::read_body(std::size_t length)
{
    body_.resize(length);
    asio::async_read(socket_, asio::buffer(body_), [self = shared_from_this()](error_code code, std::size_t) {
        if (self->closed_) {
            return;
        }
        if (code) {
            self->close_with(peer_close_reason::lost);
            return;
        }
        if (!self->pass_on()) {
            self->close_with(peer_close_reason::bad_frame);
        } else if (!self->closed_) {
            self->read_length();
        }
    });
}

/// Decodes the received frame and passes it on. Returns false if it is no valid message or could not be handled.
bool peer_connection::pass_on()
{
    received_at_ = clock::now();
    try {
        const auto message = peer_codec::decode(body_);
        if (!ok(message)) {
            return false;
        }
        options_.received(value_of(message), body_.size() + length_.size());
        return true;
    } catch (const std::exception& problem) {
        if (options_.failed) {
            options_.failed(problem.what());
        }
        return false;
    }
}

/// Writes all queued frames at once, up to a limit on their number.
void peer_connection::write_next()
{
    if (!connected_ || writing_ || closed_ || queue_.empty()) {
        return;
    }
    writing_ = true;
    std::vector<asio::const_buffer> buffers;
    for (const std::string& each : queue_) {
        if (buffers.size() < max_frames_per_write) {
            buffers.push_back(asio::buffer(each));
        }
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), frames = buffers.size()](error_code code, std::size_t) {
                          self->writing_ = false;
                          if (self->closed_) {
                              return;
                          }
                          if (code) {
                              self->close_with(peer_close_reason::lost);
                              return;
                          }
                          self->written(frames);
                      });
}

void peer_connection::written(std::size_t frames)
{
    for (std::size_t i = 0; i < frames; ++i) {
        const std::size_t bytes = queue_.front().size();
        queued_bytes_ -= bytes;
        queue_.pop_front();
        options_.sent(bytes);
    }
    sent_at_ = clock::now();
    write_next();
}

void peer_connection::set_keepalive_interval(duration interval)
{
    options_.keepalive_interval = interval;
}

/// Only a connection on which nothing is sent carries keepalives.
void peer_connection::start_keepalive()
{
    keepalive_timer_.expires_at(sent_at_ + options_.keepalive_interval);
    keepalive_timer_.async_wait([self = shared_from_this()](error_code code) {
        if (code || self->closed_) {
            return;
        }
        if (clock::now() >= self->sent_at_ + self->options_.keepalive_interval && self->queue_.empty()) {
            static_cast<void>(self->send(peer_codec::encode(keepalive{})));
            self->sent_at_ = clock::now();
        }
        self->start_keepalive();
    });
}

void peer_connection::start_timer(duration limit, peer_close_reason reason)
{
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this(), reason](error_code code) {
        if (!code && !self->closed_) {
            self->close_with(reason);
        }
    });
}

void peer_connection::close_with(peer_close_reason reason)
{
    // Counters are updated before the peer can observe that the connection is closed.
    closed_ = true;
    options_.closed(reason);
    close();
}

} // namespace citronfall
