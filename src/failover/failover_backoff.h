#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace citronfall {

/// Fields of a change back-off.
struct failover_backoff_fields {
    std::vector<instant> changes; ///< When recent changes of primary took effect, oldest first.

    friend auto operator<=>(const failover_backoff_fields&, const failover_backoff_fields&) = default;
};

/// Limits how often the primary of a group changes, so that two members that fail in turn do not flap.
class failover_backoff : public immutable<failover_backoff_fields> {
public:
    using immutable::immutable;

    /// Age at which a change no longer counts as recent: five times the greatest wait.
    static constexpr duration recent = std::chrono::minutes(2);

    /// Back-off after a further change at `now`. Only changes whose new primary answered are reported. Thread-safe.
    [[nodiscard]] failover_backoff changed(instant now) const
    {
        return with(*this, [now](failover_backoff_fields& fields) {
            std::erase_if(fields.changes, [now](instant each) { return each + recent <= now; });
            fields.changes.push_back(now);
        });
    }

    /// Earliest instant of the next change: 3 s x 2^n after the last one, where n counts the recent changes before the
    /// last one, and at most 24 s. The first wait leaves room for a second failure within the bound of 9 s.
    /// Thread-safe.
    [[nodiscard]] instant earliest() const
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
