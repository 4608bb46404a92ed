#pragma once

#include <cstdint>

namespace citronfall {

/// Identifies a caller's request within one daemon process; never reused.
using request_handle = std::uint64_t;

/// Identifies a connection to a member within one daemon process; never reused.
using connection_number = std::uint64_t;

/// Identifies an exchange (one call and its answer) within one daemon process. Never reused, so that a late answer is
/// not mistaken for the awaited one.
using exchange_number = std::uint64_t;

/// Revision of a key in the platform's key-value service; 0: the key does not exist.
using kv_revision = std::uint64_t;

} // namespace citronfall
