#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

namespace citronfall {

/// Fields of replication_status.
struct replication_status_fields {
    bool leads = false;
    term_number term = 0;
    log_position received; ///< Position of the last log entry received; the member continues from it if promoted.
    term_number paused_by =
        0; ///< Term of the pause in force; 0: replication is not paused, or the member does not tell.

    friend auto operator<=>(const replication_status_fields&, const replication_status_fields&) = default;
};

/// Role and log position as reported by a member.
using replication_status = immutable<replication_status_fields>;

} // namespace citronfall
