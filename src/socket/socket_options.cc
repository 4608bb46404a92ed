#include "socket/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citronfall {
namespace {

void set_option(int socket, int level, int name, int value)
{
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void set_tcp_options(int socket, const tcp_timeouts& timeouts)
{
    const auto seconds =
        static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(timeouts.keep_alive).count());
    const auto timeout_ms =
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeouts.user_timeout).count());
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, timeouts.keep_alive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

} // namespace citronfall
