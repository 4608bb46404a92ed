#pragma once

#include "citronfall/instant.h"

namespace citronfall {

/// Current time of CLOCK_BOOTTIME, which keeps running while the instance is suspended. Data staleness and lease
/// validity are measured on this clock because the steady clock stops during a suspension. Thread-safe.
[[nodiscard]] instant boot_now();

} // namespace citronfall
