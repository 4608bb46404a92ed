#include "standin/free_port.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronfall::standin {

std::uint16_t free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const bool bound = ::bind(socket, generic, size) == 0 && ::getsockname(socket, generic, &size) == 0;
    ::close(socket);
    if (!bound) {
        throw std::runtime_error("no free port on 127.0.0.1");
    }
    return ntohs(address.sin_port);
}

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

} // namespace citronfall::standin
