#include "registration/daemon_capacity.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Traffic of the statements that keep one core busy, of those that a daemon runs for others.
constexpr double mbps_per_core = 100;

} // namespace

double daemon_capacity(double processor_cores, double link_mbps)
{
    return std::min(processor_cores, link_mbps / mbps_per_core);
}

} // namespace citronfall
