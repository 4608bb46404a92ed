#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <map>
#include <string>

namespace citronfall {

/// Fields of a group's status.
struct group_status_fields {
    std::string group;
    std::string primary; ///< Empty: unknown.
    term_number term = 0;
    std::map<std::string, log_index> applied; ///< By member: index that the member has applied.
    std::map<std::string, double> weights;    ///< By member: part of its usual work that it gets.
    bool automation_paused = false;           ///< Automation yields to a quiet override.

    friend auto operator<=>(const group_status_fields&, const group_status_fields&) = default;
};

/// What one daemon knows of a group, for operators.
class group_status : public immutable<group_status_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
