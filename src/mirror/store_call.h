#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/store_item.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace citronfall {

/// Number of a call to the platform within one daemon process; never reused.
using call_number = std::uint64_t;

struct read_range_fields {
    std::string prefix;
    std::string after_key; ///< The page starts after this key; empty: the first page.
    bool stale = false;    ///< The page may be seconds old, at a lower cost.

    friend auto operator<=>(const read_range_fields&, const read_range_fields&) = default;
};

/// Reads one page of the items under a prefix.
using read_range = immutable<read_range_fields>;

struct watch_range_fields {
    std::string prefix;
    kv_revision after = 0;
    duration wait{}; ///< Long-poll time after which the store answers without events.

    friend auto operator<=>(const watch_range_fields&, const watch_range_fields&) = default;
};

/// Waits for changes under a prefix after a revision.
using watch_range = immutable<watch_range_fields>;

struct expected_revision_fields {
    std::string key;
    kv_revision revision = 0; ///< 0: the key must not exist.

    friend auto operator<=>(const expected_revision_fields&, const expected_revision_fields&) = default;
};

/// Condition of a store transaction: the revision that a key must have.
using expected_revision = immutable<expected_revision_fields>;

struct change_items_fields {
    std::vector<expected_revision> expected;
    std::vector<store_item> writes; ///< Key, value and lease are used.
    std::vector<std::string> deletes;

    friend auto operator<=>(const change_items_fields&, const change_items_fields&) = default;
};

/// Writes and deletes keys atomically if all conditions hold.
using change_items = immutable<change_items_fields>;

struct grant_lease_fields {
    duration time_to_live{};

    friend auto operator<=>(const grant_lease_fields&, const grant_lease_fields&) = default;
};

/// Requests a new lease.
using grant_lease = immutable<grant_lease_fields>;

struct renew_lease_fields {
    lease_number lease = 0;

    friend auto operator<=>(const renew_lease_fields&, const renew_lease_fields&) = default;
};

/// Renews a lease.
using renew_lease = immutable<renew_lease_fields>;

struct end_lease_fields {
    lease_number lease = 0;

    friend auto operator<=>(const end_lease_fields&, const end_lease_fields&) = default;
};

/// Revokes a lease, which removes its items.
using end_lease = immutable<end_lease_fields>;

struct promote_member_fields {
    std::string service;
    std::string member;
    std::string holder;      ///< Daemon that holds the failover lock.
    std::uint64_t fence = 0; ///< Fencing token; the platform rejects one lower than it has seen.

    friend auto operator<=>(const promote_member_fields&, const promote_member_fields&) = default;
};

/// Makes a member the primary of its service.
using promote_member = immutable<promote_member_fields>;

/// The request of a call to the platform.
using call_body =
    std::variant<read_range, watch_range, change_items, grant_lease, renew_lease, end_lease, promote_member>;

struct store_call_fields {
    call_number number = 0;
    duration timeout{};
    call_body body;

    friend auto operator<=>(const store_call_fields&, const store_call_fields&) = default;
};

/// Call to the platform, sent by the decision thread to the store thread.
using store_call = immutable<store_call_fields>;

} // namespace citronfall
