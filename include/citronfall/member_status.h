#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "citronfall/term_history.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Role of a member in its current term.
enum class member_role { replica, primary };

struct member_status_fields {
    std::string member;
    member_role role = member_role::replica;
    term_number term = 0;        ///< Current term of the member; it refuses calls with a lower one.
    log_index last_index = 0;    ///< Index of the last entry of its log.
    log_index applied_index = 0; ///< Index of the last entry that its reads reflect.
    term_history history;
    std::uint32_t connections = 0; ///< Open connections to the member.

    friend auto operator<=>(const member_status_fields&, const member_status_fields&) = default;
};

/// Status that a member reports.
class member_status : public immutable<member_status_fields> {
public:
    using immutable::immutable;

    /// Position of the last entry of the member's log. Thread-safe.
    [[nodiscard]] log_position last_position() const
    {
        return log_position{{.term = (*this)->history.term_at((*this)->last_index), .index = (*this)->last_index}};
    }

    /// Whether the member's log contains `position`. Thread-safe.
    [[nodiscard]] bool holds(const log_position& position) const
    {
        return (*this)->history.contains(position, (*this)->last_index);
    }

    /// Whether the member's reads reflect `position`. Thread-safe.
    [[nodiscard]] bool covers(const log_position& position) const
    {
        return (*this)->history.contains(position, (*this)->applied_index);
    }
};

} // namespace citronfall
