#pragma once

#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "deployment/member_registration.h"
#include "pool/latency_estimate.h"
#include "pool/member_health.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace citronfall {

/// A member as the pool sees it. Owned by member_pool.
struct pooled_member {
    member_registration entry;
    std::uint32_t limit = 0;         ///< Connections that the member accepts from all daemons.
    std::size_t holders = 1;         ///< Daemons that hold connections to it.
    bool is_holder = true;           ///< This daemon is one of them.
    std::set<connection_number> all; ///< Being opened, idle and in use.
    std::set<connection_number> idle;
    std::size_t opening = 0;
    std::size_t running = 0; ///< Measured exchanges in progress.
    std::size_t waiting = 0; ///< Statements that found no idle connection since the last one became idle.
    member_health health;
    latency_estimate latency;
    std::optional<instant> refused_at;     ///< Last refusal for lack of room.
    instant next_attempt{};                ///< No connection is opened before.
    instant seen_at{};                     ///< When the entry was first seen; its warm-up time counts from here.
    std::optional<instant> draining_since; ///< When the member was first seen to be leaving.
    bool listed = true;                    ///< The entry still stands in the store.
};

} // namespace citronfall
