#pragma once

namespace citronfall {

/// Processor and link of an instance that states none: those of a small one.
inline constexpr double default_processor_cores = 0.1;
inline constexpr double default_link_mbps = 100;

/// Part of the fleet's common work that a daemon can take, relative to others: that of its processor, in cores, or less
/// if its link would be full before. Thread-safe.
[[nodiscard]] double daemon_capacity(double processor_cores, double link_mbps);

} // namespace citronfall
