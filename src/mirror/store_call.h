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

/// Fields of a range read.
struct read_range_fields {
    std::string prefix;
    std::string after_key; ///< The page starts behind this key; empty: the first page.

    friend auto operator<=>(const read_range_fields&, const read_range_fields&) = default;
};

/// Reads one page of the items under a prefix.
using read_range = immutable<read_range_fields>;

/// Fields of a watch.
struct watch_range_fields {
    std::string prefix;
    kv_revision after = 0;
    duration wait{}; ///< The store answers without events after this time.

    friend auto operator<=>(const watch_range_fields&, const watch_range_fields&) = default;
};

/// Waits for changes under a prefix.
using watch_range = immutable<watch_range_fields>;

/// Fields of a key's expected revision.
struct expected_revision_fields {
    std::string key;
    kv_revision revision = 0; ///< 0: the key must not exist.

    friend auto operator<=>(const expected_revision_fields&, const expected_revision_fields&) = default;
};

/// Condition of a transaction of the store.
using expected_revision = immutable<expected_revision_fields>;

/// Fields of a conditional change.
struct change_items_fields {
    std::vector<expected_revision> expected;
    std::vector<store_item> writes; ///< Key, value and lease are used.
    std::vector<std::string> deletes;

    friend auto operator<=>(const change_items_fields&, const change_items_fields&) = default;
};

/// Changes keys if all conditions hold.
using change_items = immutable<change_items_fields>;

/// Fields of a lease request.
struct grant_lease_fields {
    duration time_to_live{};

    friend auto operator<=>(const grant_lease_fields&, const grant_lease_fields&) = default;
};

/// Asks for a lease.
using grant_lease = immutable<grant_lease_fields>;

/// Fields of a renewal.
struct renew_lease_fields {
    lease_number lease = 0;

    friend auto operator<=>(const renew_lease_fields&, const renew_lease_fields&) = default;
};

/// Renews a lease.
using renew_lease = immutable<renew_lease_fields>;

/// Fields of the end of a lease.
struct end_lease_fields {
    lease_number lease = 0;

    friend auto operator<=>(const end_lease_fields&, const end_lease_fields&) = default;
};

/// Ends a lease and removes its items.
using end_lease = immutable<end_lease_fields>;

/// Fields of a promotion.
struct promote_member_fields {
    std::string service;
    std::string member;
    std::string holder;      ///< Daemon that holds the duty.
    std::uint64_t fence = 0; ///< Grows each time the duty changes hands; the platform refuses lower ones.

    friend auto operator<=>(const promote_member_fields&, const promote_member_fields&) = default;
};

/// Makes a member the primary of its service.
using promote_member = immutable<promote_member_fields>;

/// What a call to the platform asks for.
using call_body =
    std::variant<read_range, watch_range, change_items, grant_lease, renew_lease, end_lease, promote_member>;

/// Fields of a call.
struct store_call_fields {
    call_number number = 0;
    duration timeout{};
    call_body body;

    friend auto operator<=>(const store_call_fields&, const store_call_fields&) = default;
};

/// Message of the decision thread to the store thread.
using store_call = immutable<store_call_fields>;

} // namespace citronfall
