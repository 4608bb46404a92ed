#pragma once

#include <cstdint>

namespace citronfall {

/// Bits of a number that count within one run of a daemon.
inline constexpr unsigned run_counter_bits = 32;

/// Bits of a number below which the numbers of all runs lie. Numbers from 2^62 on are free for other purposes.
inline constexpr unsigned run_number_bits = 62;

/// The number after which a run of a daemon counts those that it sends to other daemons. Runs have different
/// incarnations, so that an answer to a message of a former run matches none of the present one.
[[nodiscard]] constexpr std::uint64_t first_number_of_run(std::uint64_t incarnation)
{
    constexpr std::uint64_t incarnation_mask = (1ULL << (run_number_bits - run_counter_bits)) - 1;
    return (incarnation & incarnation_mask) << run_counter_bits;
}

} // namespace citronfall
