#pragma once

#include "citronfall/instant.h"

#include <optional>
#include <string>

namespace citronfall::standin {

/// A caller's statement at a member, from its arrival to its answer.
struct member_work {
    std::string request_id;
    std::string member;
    instant arrived_at{};
    std::optional<instant> answered_at{}; ///< Empty if the connection ended before, or if it still runs.

    friend auto operator<=>(const member_work&, const member_work&) = default;
};

} // namespace citronfall::standin
