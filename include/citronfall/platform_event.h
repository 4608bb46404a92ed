#pragma once

#include "citronfall/error_kind.h"
#include "citronfall/immutable.h"
#include "citronfall/kv_entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

struct platform_event_fields {
    std::uint64_t number = 0;          ///< Number of the call.
    std::optional<error_kind> failure; ///< conflict, connect_failed (no effect) or outcome_unknown (possibly executed).
    kv_entry entry;                    ///< For a read or a successful compare-and-swap.
    bool lease_held = false;           ///< For a lease call.
    std::vector<std::string> instances; ///< For an instances call: addresses of the live instances.

    friend auto operator<=>(const platform_event_fields&, const platform_event_fields&) = default;
};

/// Result of a platform_call, sent by the platform thread to the decision thread.
class platform_event : public immutable<platform_event_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
