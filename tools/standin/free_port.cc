#include "standin/free_port.h"

#include <atomic>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronfall::standin {
namespace {

/// Ports below the kernel's range of ephemeral ports: an outgoing connection on the port of a server, even one in
/// TIME_WAIT, would keep the server from listening again after a restart.
constexpr unsigned first_port = 12'000;
constexpr unsigned port_count = 20'000;

bool can_bind(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket);
    return bound;
}

} // namespace

std::uint16_t free_port()
{
    static std::atomic<unsigned> next{std::random_device{}()};
    for (unsigned attempt = 0; attempt < port_count; ++attempt) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (can_bind(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

} // namespace citronfall::standin
