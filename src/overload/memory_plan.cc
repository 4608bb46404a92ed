#include "overload/memory_plan.h"

#include <algorithm>

namespace citronfall {
namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

/// Program, stacks, tables, copies of the store, and the copies of a value while it passes through the decision thread.
constexpr std::size_t fixed_mb = 48;

/// Least part of the memory that is divided, on machines that hardly have the fixed part.
constexpr std::size_t min_divided_part = 4;

} // namespace

memory_plan plan_memory(std::size_t machine_mb)
{
    const std::size_t divided_mb = std::max(machine_mb - std::min(machine_mb, fixed_mb), machine_mb / min_divided_part);
    const std::size_t sixteenth = divided_mb * mebibyte / 16;
    return memory_plan{{.caller_input = 4 * sixteenth,
                        .caller_output = 3 * sixteenth,
                        .session_state = 2 * sixteenth,
                        .member_answers = sixteenth,
                        .peer_input = sixteenth,
                        .peer_output = 2 * sixteenth,
                        .events = sixteenth,
                        .replies = sixteenth}};
}

} // namespace citronfall
