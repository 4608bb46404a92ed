#pragma once

#include "citronfall/immutable.h"

#include <cstddef>

namespace citronfall {

/// Fields of a memory plan. Limits in bytes.
struct memory_plan_fields {
    std::size_t caller_input = 0;   ///< Messages of callers that are incomplete or not answered.
    std::size_t caller_output = 0;  ///< Answers that callers have not taken yet.
    std::size_t session_state = 0;  ///< Values, prepared shapes and words of their start that sessions keep.
    std::size_t member_answers = 0; ///< Answers of members that are incomplete.
    std::size_t peer_input = 0;     ///< Messages of other daemons that are incomplete.
    std::size_t peer_output = 0;    ///< Messages that other daemons have not taken yet.
    std::size_t events = 0;         ///< Events on their way to the decision thread.
    std::size_t replies = 0;        ///< Replies on their way from it at which members are no longer read.

    friend auto operator<=>(const memory_plan_fields&, const memory_plan_fields&) = default;
};

/// How the memory of a process is divided among what grows with what others send.
using memory_plan = immutable<memory_plan_fields>;

/// Divides the memory of a machine, in MiB. Pure, thread-safe.
[[nodiscard]] memory_plan plan_memory(std::size_t machine_mb);

} // namespace citronfall
