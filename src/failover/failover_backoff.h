#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace citronfall {

/// Fields of a failover_backoff.
struct failover_backoff_fields {
    std::vector<instant> changes; ///< Times of the recent changes of primary, oldest first.

    friend auto operator<=>(const failover_backoff_fields&, const failover_backoff_fields&) = default;
};

/// Exponential backoff between changes of a group's primary, so that the role does not flap between failing members.
class failover_backoff : public immutable<failover_backoff_fields> {
public:
    using immutable::immutable;

    /// Age at which a change no longer counts as recent: five times the maximum wait.
    static constexpr duration recent_age = std::chrono::minutes(2);

    /// This backoff with one more change, at `now`. To be called only when the new primary has answered. Thread-safe.
    [[nodiscard]] failover_backoff with_change(instant now) const
    {
        return with(*this, [now](failover_backoff_fields& fields) {
            std::erase_if(fields.changes, [now](instant each) { return each + recent_age <= now; });
            fields.changes.push_back(now);
        });
    }

    /// Earliest time of the next change: 3 s * 2^n after the last one, at most 24 s, where n is the number of recent
    /// changes before the last one. The first wait is short enough that a second failure is still handled within the
    /// bound of 9 s. Thread-safe.
    [[nodiscard]] instant earliest_change() const
    {
        const auto& changes = (*this)->changes;
        if (changes.empty()) {
            return instant::min();
        }
        const auto doublings = std::min<std::size_t>(changes.size() - 1, 3);
        return changes.back() + std::chrono::seconds(3) * (std::int64_t{1} << doublings);
    }
};

} // namespace citronfall
