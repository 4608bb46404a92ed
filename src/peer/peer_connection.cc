#include "peer/peer_connection.h"

#include "peer/peer_codec.h"
#include "socket/socket_options.h"

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>

namespace citronfall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Room for two frames of maximum size. A slower peer gets missed changes through the exchange of digests; if relayed
/// work does not fit, the connection is closed.
constexpr std::size_t max_queued_bytes = 2 * (peer_codec::max_frame_bytes + frame_header::size);

/// Frames that one system call writes.
constexpr std::size_t max_frames_per_write = 16;

/// Longest frame of a message that goes in pieces. Other messages wait for one at most: 50 ms on a link of 10 Mbit/s.
constexpr std::size_t piece_bytes = 64 * 1024;

/// Longest first frame: names and numbers of a daemon.
constexpr std::size_t max_first_frame_bytes = 4096;

/// A body is given memory as it arrives, because the header alone proves nothing.
constexpr std::size_t read_step = 64 * 1024;

/// The kernel reports room only once a third of its buffer is free. With a larger one, a slow link would look like a
/// peer that takes nothing.
constexpr int send_buffer_bytes = 128 * 1024;

using clock = asio::steady_timer::clock_type;

std::string frame(frame_kind kind, std::string_view body)
{
    std::string bytes = encode(frame_header{.kind = kind, .length = body.size()});
    bytes.reserve(bytes.size() + body.size());
    return bytes.append(body);
}

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket, peer_connection_options options)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), keepalive_timer_(socket_.get_executor()),
      send_timer_(socket_.get_executor()), options_(std::move(options))
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
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
    set_tcp_options(socket_.native_handle(), peer_tcp_timeouts);
    received_at_ = clock::now();
    sent_at_ = received_at_;
    await_receive_timeout();
    read_header();
    write_next();
    start_keepalive();
}

bool peer_connection::is_long(const std::string& body)
{
    return body.size() > piece_bytes;
}

bool peer_connection::send(const std::string& body)
{
    const bool in_pieces = sends_pieces_ && is_long(body);
    const bool fits = body.size() <= peer_codec::max_frame_bytes && queued_bytes_ + body.size() <= max_queued_bytes;
    if (closed_ || !(in_pieces || fits)) {
        return false;
    }
    if (in_pieces) {
        long_messages_.push_back(body);
        long_bytes_ += body.size();
    } else {
        queue_.push_back({.bytes = frame(frame_kind::message, body)});
        queued_bytes_ += queue_.back().bytes.size();
    }
    write_next();
    return true;
}

void peer_connection::close()
{
    closed_ = true;
    error_code ignored;
    timer_.cancel(ignored);
    keepalive_timer_.cancel(ignored);
    send_timer_.cancel(ignored);
    socket_.close(ignored);
}

duration peer_connection::receive_limit() const
{
    return accepts_all_frames_ ? options_.receive_timeout
                               : std::min(options_.first_frame_timeout, options_.receive_timeout);
}

/// One timer for all frames: restarting it with each would cost a system call a frame.
void peer_connection::await_receive_timeout()
{
    timer_.expires_at(received_at_ + receive_limit());
    timer_.async_wait([self = shared_from_this()](error_code code) {
        if (code || self->closed_) {
            return;
        }
        if (clock::now() >= self->received_at_ + self->receive_limit()) {
            self->close_with(peer_close_reason::timed_out);
        } else {
            self->await_receive_timeout();
        }
    });
}

void peer_connection::read_header()
{
    if (body_.capacity() > 2 * read_step) {
        body_ = {}; // An idle connection keeps no long body.
    }
    asio::async_read(socket_, asio::buffer(header_), [self = shared_from_this()](error_code code, std::size_t) {
        if (self->closed_) {
            return;
        }
        if (code) {
            self->close_with(peer_close_reason::lost);
            return;
        }
        const auto header = decode_frame_header(self->header_);
        const std::size_t longest = self->accepts_all_frames_ ? peer_codec::max_frame_bytes : max_first_frame_bytes;
        if (!header || header->length == 0 || header->length > longest) {
            self->close_with(peer_close_reason::bad_frame);
            return;
        }
        self->body_.clear();
        self->read_body(*header);
    });
}

void peer_connection::read_body(const frame_header& header)
{
    const std::size_t begin = body_.size();
    body_.resize(std::min(header.length, begin + read_step));
    const auto rest = asio::buffer(body_.data() + begin, body_.size() - begin);
    asio::async_read(socket_, rest, [self = shared_from_this(), header](error_code code, std::size_t) {
        if (self->closed_) {
            return;
        }
        if (code) {
            self->close_with(peer_close_reason::lost);
            return;
        }
        if (self->body_.size() < header.length) {
            self->report_held();
            self->read_body(header);
        } else if (!self->pass_on(header.kind)) {
            self->close_with(peer_close_reason::bad_frame);
        } else if (!self->closed_) {
            self->read_header();
        }
    });
}

/// Passes the received frame on, or keeps it until the rest of its message has arrived. Returns false if it is no valid
/// message or could not be handled.
bool peer_connection::pass_on(frame_kind kind)
{
    received_at_ = clock::now();
    if (kind == frame_kind::message) {
        return decode(body_);
    }
    if (!drops_pieces_) {
        pieces_ += body_;
    }
    if (pieces_.size() > options_.max_message_bytes) {
        drop_pieces();
    }
    report_held();
    if (kind == frame_kind::piece) {
        return true;
    }
    const bool dropped = std::exchange(drops_pieces_, false);
    const std::string message = std::exchange(pieces_, {});
    report_held();
    return dropped || decode(message);
}

bool peer_connection::decode(const std::string& message)
{
    try {
        const auto decoded = peer_codec::decode(message);
        if (!ok(decoded)) {
            return false;
        }
        options_.received(value_of(decoded), message.size() + header_.size());
        return true;
    } catch (const std::exception& problem) {
        if (options_.failed) {
            options_.failed(problem.what());
        }
        return false;
    }
}

void peer_connection::drop_pieces()
{
    if (pieces_.empty()) {
        return;
    }
    drops_pieces_ = true;
    pieces_ = {};
    options_.dropped();
}

/// Messages of one step are not worth a report.
void peer_connection::report_held()
{
    const std::size_t held = pieces_.size() + (body_.size() > read_step ? body_.size() : 0);
    if (held != reported_held_) {
        reported_held_ = held;
        options_.holds(held);
    }
}

/// Puts the next part of the first long message into the queue. One is in the queue at a time.
void peer_connection::add_piece()
{
    if (piece_queued_ || long_messages_.empty()) {
        return;
    }
    const std::string& message = long_messages_.front();
    const std::string_view piece = std::string_view(message).substr(long_sent_, piece_bytes);
    long_sent_ += piece.size();
    const bool last = long_sent_ == message.size();
    queue_.push_back({.bytes = frame(last ? frame_kind::last_piece : frame_kind::piece, piece), .piece = true});
    queued_bytes_ += queue_.back().bytes.size();
    piece_queued_ = true;
    if (last) {
        long_bytes_ -= message.size();
        long_messages_.pop_front();
        long_sent_ = 0;
    }
}

/// Writes queued frames until none is left or the peer takes no more.
void peer_connection::write_next()
{
    while (connected_ && !closed_ && !waits_to_write_) {
        add_piece();
        if (queue_.empty()) {
            return;
        }
        std::vector<asio::const_buffer> buffers;
        for (const queued_frame& each : queue_) {
            if (buffers.size() < max_frames_per_write) {
                buffers.push_back(asio::buffer(each.bytes));
            }
        }
        buffers.front() += front_sent_;
        error_code code;
        const std::size_t count = socket_.write_some(buffers, code);
        if (code == asio::error::would_block) {
            wait_writable();
        } else if (code) {
            // Posted, since the sender may be in the midst of its connections.
            waits_to_write_ = true;
            asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail_write(); });
        } else {
            written(count);
        }
    }
}

void peer_connection::fail_write()
{
    if (!closed_) {
        close_with(peer_close_reason::lost);
    }
}

void peer_connection::wait_writable()
{
    waits_to_write_ = true;
    send_timer_.expires_after(options_.send_timeout);
    send_timer_.async_wait([self = shared_from_this()](error_code code) {
        if (!code && !self->closed_ && self->waits_to_write_) {
            self->close_with(peer_close_reason::overloaded);
        }
    });
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code code) {
        if (!code && !self->closed_) {
            self->waits_to_write_ = false;
            self->send_timer_.cancel();
            self->write_next();
        }
    });
}

void peer_connection::written(std::size_t count)
{
    front_sent_ += count;
    while (!queue_.empty() && front_sent_ >= queue_.front().bytes.size()) {
        const std::size_t bytes = queue_.front().bytes.size();
        piece_queued_ = piece_queued_ && !queue_.front().piece;
        front_sent_ -= bytes;
        queued_bytes_ -= bytes;
        queue_.pop_front();
        options_.sent(bytes);
    }
    sent_at_ = clock::now();
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
