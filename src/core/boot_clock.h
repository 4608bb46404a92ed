#pragma once

#include "citronfall/instant.h"

namespace citronfall {

/// Present instant of the clock that keeps counting while the instance is suspended (CLOCK_BOOTTIME). Ages that bound
/// the staleness of data or the validity of a lease use this clock, because the steady clock stands still during a
/// suspension. Thread-safe.
[[nodiscard]] instant boot_now();

} // namespace citronfall
