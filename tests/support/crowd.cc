#include "support/crowd.h"

#include "core/endpoint_address.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronfall::testing {
namespace {

constexpr auto pause = std::chrono::milliseconds(10);

/// Turns without progress after which the other side is taken to read nothing more.
constexpr std::size_t max_idle_turns = 100;

bool is_transient(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == ENOTCONN || code == EINPROGRESS;
}

} // namespace

crowd::crowd(std::string address, std::size_t clients, crowd_script script, std::function<void()> after_turn)
    : address_(std::move(address)), script_(std::move(script)), after_turn_(std::move(after_turn)), clients_(clients)
{
}

crowd::~crowd()
{
    for (const client& each : clients_) {
        if (each.socket >= 0) {
            ::close(each.socket);
        }
    }
}

void crowd::connect(client& each)
{
    const auto target = endpoint_address::make(address_);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(value_of(target)->port);
    ::inet_pton(AF_INET, value_of(target)->host.c_str(), &endpoint.sin_addr);
    each.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    static_cast<void>(::connect(each.socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)));
}

void crowd::play()
{
    for (client& each : clients_) {
        connect(each);
    }
    for (std::size_t idle_turns = 0; idle_turns < max_idle_turns;) {
        bool progress = false;
        for (client& each : clients_) {
            progress = take_turn(each) || progress;
        }
        after_turn_();
        idle_turns = progress ? 0 : idle_turns + 1;
        if (!progress) {
            std::this_thread::sleep_for(pause);
        }
    }
}

void crowd::linger(std::size_t turns)
{
    for (std::size_t turn = 0; turn < turns; ++turn) {
        std::this_thread::sleep_for(pause);
        for (client& each : clients_) {
            take_turn(each);
        }
        after_turn_();
    }
}

/// Sends and reads what the script allows in one turn. Returns whether bytes were sent.
bool crowd::take_turn(client& each)
{
    if (each.socket < 0) {
        return false;
    }
    const std::size_t left = std::min(script_.piece, script_.text.size() - each.sent);
    const ssize_t sent =
        left == 0 ? 0 : ::send(each.socket, script_.text.data() + each.sent, left, MSG_NOSIGNAL | MSG_DONTWAIT);
    bool closed = sent < 0 && !is_transient(errno);
    each.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    if (!closed && script_.bytes_read_in_a_turn > 0) {
        std::string buffer(script_.bytes_read_in_a_turn, '\0');
        const ssize_t count = ::recv(each.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        closed = count == 0 || (count < 0 && !is_transient(errno));
    }
    if (closed) {
        ::close(std::exchange(each.socket, -1));
    }
    return sent > 0;
}

std::size_t crowd::open() const
{
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](const client& each) { return each.socket >= 0; }));
}

} // namespace citronfall::testing
