#include "core/boot_clock.h"

#include <ctime>

namespace citronfall {

instant boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace citronfall
