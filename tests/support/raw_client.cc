#include "support/raw_client.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronfall::testing {

raw_client::raw_client(const std::string& address) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(socket_);
        throw std::runtime_error("cannot connect to " + address);
    }
}

raw_client::~raw_client()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

bool raw_client::write(const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t sent = ::send(socket_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(sent);
    }
    return true;
}

std::string raw_client::read_answers(std::size_t count, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (whole_answers(received_) < count && read_some(deadline)) {
    }
    return std::exchange(received_, {});
}

std::string raw_client::read_to_end(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (read_some(deadline)) {
    }
    return std::exchange(received_, {});
}

void raw_client::reset()
{
    const linger abort{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    ::close(socket_);
    socket_ = -1;
}

bool raw_client::read_some(std::chrono::steady_clock::time_point deadline)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
    pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
    if (closed_ || left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 64 * 1024> buffer{};
    const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        closed_ = true;
        return false;
    }
    received_.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
}

std::string post(const std::string& target, const std::string& body, bool keep_alive)
{
    return "POST " + target + " HTTP/1.1\r\nHost: test\r\nConnection: " + (keep_alive ? "keep-alive" : "close") +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get(const std::string& target, bool keep_alive)
{
    return "GET " + target + " HTTP/1.1\r\nHost: test\r\nConnection: " + (keep_alive ? "keep-alive" : "close") +
           "\r\n\r\n";
}

std::size_t whole_answers(const std::string& bytes)
{
    std::size_t count = 0;
    std::size_t at = 0;
    while (true) {
        const std::size_t end = bytes.find("\r\n\r\n", at);
        if (end == std::string::npos) {
            return count;
        }
        std::string header = bytes.substr(at, end - at);
        std::transform(header.begin(), header.end(), header.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t length = header.find("content-length:");
        const std::size_t body = length == std::string::npos ? 0 : std::stoul(header.substr(length + 15));
        if (bytes.size() < end + 4 + body) {
            return count;
        }
        ++count;
        at = end + 4 + body;
    }
}

} // namespace citronfall::testing
