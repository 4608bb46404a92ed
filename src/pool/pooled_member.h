#pragma once

#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "deployment/member_registration.h"
#include "pool/latency_estimate.h"
#include "pool/member_health.h"
#include "pool/member_pace.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace citronfall {

/// State that the pool keeps for one member. Owned by member_pool.
struct pooled_member {
    member_registration entry;
    std::uint32_t limit = 0;         ///< Connections that the member accepts from all daemons together.
    std::size_t holders = 1;         ///< Daemons that keep connections to it open.
    bool is_holder = true;           ///< This daemon is one of them.
    std::size_t position = 0;        ///< Of this daemon among them.
    std::set<connection_number> all; ///< Connections being opened, idle and in use.
    std::set<connection_number> idle;
    std::size_t opening = 0;
    std::size_t running = 0; ///< Statements in flight that count as load.
    std::size_t waiting = 0; ///< Statements that waited when no connection was idle; 0 once one becomes idle.
    member_health health;
    latency_estimate latency;
    member_pace pace;
    bool has_started = false;              ///< The member has started since a connection to it was last opened.
    std::optional<instant> refused_at;     ///< Last refusal of a connection because the limit was reached.
    std::size_t refusals = 0;              ///< Such refusals since a connection was last opened.
    instant next_attempt{};                ///< Earliest time of the next connection attempt.
    instant first_seen_at{};               ///< When this start of the member was first seen; start of its warm-up time.
    std::optional<instant> draining_since; ///< When the member was first seen draining.
    bool listed = true;                    ///< The member is still registered in the store.
};

} // namespace citronfall
