#pragma once

#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "leader/min_read_position.h"
#include "leader/position_history.h"

#include <optional>

namespace citronfall {

/// Estimates from a member's answers how far it is behind the primary, so that reads avoid members that would refuse
/// them. The member itself checks each read; a wrong estimate costs one attempt.
///
/// Not thread-safe: owned by the decision thread.
class replica_lag_estimate {
public:
    /// The member answered with its position at `now`. `primary_positions` tells when the primary went beyond it.
    void answered(const log_position& position, const position_history& primary_positions, instant now);

    /// The member refused a read for lack of `min_position` at `now`.
    void refused(const min_read_position& min_position, instant now);

    /// Whether the member probably holds `min_position` at `now`.
    [[nodiscard]] bool likely_holds(const min_read_position& min_position, instant now) const;

    /// Present estimate of the time between a commit and its arrival in the member's log.
    [[nodiscard]] duration lag() const { return lag_; }

private:
    std::optional<log_position> position_;
    duration lag_{};
    instant lag_seen_{};
};

} // namespace citronfall
