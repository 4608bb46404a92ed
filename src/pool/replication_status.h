#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

namespace citronfall {

/// Fields of a status.
struct replication_status_fields {
    bool leads = false;
    term_number term = 0;
    log_position received; ///< Last entry that the member received; what it would lead with.

    friend auto operator<=>(const replication_status_fields&, const replication_status_fields&) = default;
};

/// What a member says of its role and its log.
using replication_status = immutable<replication_status_fields>;

} // namespace citronfall
