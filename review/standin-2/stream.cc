#include "stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void set_options(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

int bound_socket(std::uint16_t& port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback_address(0);
    socklen_t size = sizeof(address);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

} // namespace

stream::stream(event_loop& loop, int descriptor, std::shared_ptr<link_rate> rate)
    : loop_(loop), descriptor_(descriptor), rate_(std::move(rate))
{
    set_options(descriptor_);
}

stream::~stream()
{
    close();
}

void stream::start(std::function<void()> received, std::function<void()> closed)
{
    received_ = std::move(received);
    closed_ = std::move(closed);
    watch();
}

void stream::send(const std::string& bytes)
{
    if (!open() || silent_) {
        return;
    }
    output_ += bytes;
    write_some();
}

void stream::fall_silent()
{
    silent_ = true;
    output_.clear();
    sent_ = 0;
    loop_.forget(descriptor_);
}

void stream::close()
{
    if (descriptor_ >= 0) {
        loop_.forget(descriptor_);
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void stream::watch()
{
    if (!open() || silent_) {
        return;
    }
    const std::weak_ptr<stream> self = weak_from_this();
    const auto call = [self](void (stream::*method)()) {
        return [self, method] {
            if (const auto alive = self.lock()) {
                ((*alive).*method)();
            }
        };
    };
    const bool waits_for_room = !output_.empty() && !rate_;
    loop_.watch(descriptor_, call(&stream::read_some),
                waits_for_room ? event_loop::callback(call(&stream::write_some)) : event_loop::callback{});
}

void stream::read_some()
{
    const stream_ptr self = shared_from_this();
    std::array<char, 65536> buffer{};
    const auto count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        input.append(buffer.data(), static_cast<std::size_t>(count));
        if (received_) {
            received_();
        }
    } else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
        close();
        if (closed_) {
            closed_();
        }
    }
}

void stream::write_some()
{
    constexpr milliseconds pace_interval{4};
    constexpr double burst_ms = 8;
    while (open() && !output_.empty()) {
        std::size_t most = output_.size() - sent_;
        if (rate_) {
            const auto now = event_loop::now();
            const double passed_ms = std::chrono::duration<double, std::milli>(now - rate_->counted_at).count();
            rate_->allowed = std::min(rate_->allowed + passed_ms * rate_->bytes_per_ms, burst_ms * rate_->bytes_per_ms);
            rate_->counted_at = now;
            most = std::min(most, static_cast<std::size_t>(std::max(rate_->allowed, 0.0)));
        }
        const auto count = most == 0 ? 0 : ::send(descriptor_, output_.data() + sent_, most, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent_ += static_cast<std::size_t>(count);
        if (sent_ == output_.size()) {
            output_.clear();
            sent_ = 0;
        }
        if (rate_) {
            rate_->allowed -= static_cast<double>(count);
        }
    }
    if (rate_ && open() && !output_.empty()) {
        loop_.after(pace_interval, [self = weak_from_this()] {
            if (const auto alive = self.lock()) {
                alive->write_some();
            }
        });
    }
    watch();
}

listener::listener(event_loop& loop, std::function<void(stream_ptr)> accepted, std::shared_ptr<link_rate> rate)
    : loop_(loop), accepted_(std::move(accepted)), rate_(std::move(rate))
{
    constexpr int backlog = 256;
    descriptor_ = bound_socket(port_);
    set_options(descriptor_);
    listen(descriptor_, backlog);
    watch();
}

void listener::set_accepting(bool accepting)
{
    accepting ? watch() : loop_.forget(descriptor_);
}

void listener::stop()
{
    loop_.forget(descriptor_);
    ::close(descriptor_);
}

void listener::watch()
{
    loop_.watch(descriptor_,
                [this] {
                    const int descriptor = accept(descriptor_, nullptr, nullptr);
                    if (descriptor >= 0) {
                        accepted_(std::make_shared<stream>(loop_, descriptor, rate_));
                    }
                },
                {});
}

stream_ptr connect_to(event_loop& loop, const endpoint& target)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback_address(target.port);
    inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<stream>(loop, descriptor, nullptr);
}

} // namespace review
