#include "frontend/caller_socket.h"

#include <sys/socket.h>

namespace citronfall {

send_progress caller_socket::send(const std::function<send_progress()>& write)
{
    const std::lock_guard lock(mutex_);
    return descriptor_ < 0 ? send_progress::rejected : write();
}

void caller_socket::shut_down(shutdown_extent extent)
{
    reading_ = false;
    const std::lock_guard lock(mutex_);
    if (descriptor_ >= 0) {
        ::shutdown(descriptor_, extent == shutdown_extent::write ? SHUT_WR : SHUT_RDWR);
    }
}

void caller_socket::close()
{
    const std::lock_guard lock(mutex_);
    descriptor_ = -1;
}

} // namespace citronfall
