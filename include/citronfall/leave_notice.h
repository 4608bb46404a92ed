#pragma once

#include "citronfall/immutable.h"

#include <compare>

namespace citronfall {

struct leave_notice_fields {
    friend auto operator<=>(const leave_notice_fields&, const leave_notice_fields&) = default;
};

/// Tells peers that the sender shuts down, so that they relay new statements to other daemons.
using leave_notice = immutable<leave_notice_fields>;

} // namespace citronfall
