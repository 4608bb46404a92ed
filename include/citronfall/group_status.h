#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <map>
#include <string>

namespace citronfall {

struct group_status_fields {
    std::string group;
    std::string primary; ///< Empty: unknown.
    term_number term = 0;
    std::map<std::string, log_index> applied; ///< Last applied log index, by member.
    std::map<std::string, double> weights;    ///< Fraction of its regular load that each member gets.
    bool automation_paused = false;           ///< Automation is suspended because of a change made outside the tool.

    friend auto operator<=>(const group_status_fields&, const group_status_fields&) = default;
};

/// Status of a group as known to one daemon, for operators.
class group_status : public immutable<group_status_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
