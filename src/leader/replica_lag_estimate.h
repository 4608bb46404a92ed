#pragma once

#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "leader/min_read_position.h"
#include "leader/position_history.h"

#include <optional>

namespace citronfall {

/// Estimates a member's replication lag from its answers, so that reads avoid members that would refuse them. The
/// member itself checks the minimum position of each read; a wrong estimate costs one attempt.
///
/// Not thread-safe: owned by the decision thread.
class replica_lag_estimate {
public:
    /// Reports that the member answered with its `position`. `primary_positions` tells when the primary
    /// passed that position.
    void answered(const log_position& position, const position_history& primary_positions, instant now);

    /// Reports that the member refused a read because it had not reached `min_position`.
    void refused(const min_read_position& min_position, instant now);

    /// Reports that a read was sent to the member. If the estimate has expired, the member counts as lagging as before
    /// until the answer arrives or the read is overdue, so that one read at a time finds out.
    void tried(instant now);

    /// Whether the member has probably reached `min_position`.
    [[nodiscard]] bool likely_holds(const min_read_position& min_position, instant now) const;

    /// Estimated time between a commit on the primary and its arrival on the member.
    [[nodiscard]] duration lag() const { return lag_; }

private:
    [[nodiscard]] bool expired(instant now) const;

    std::optional<log_position> position_;
    duration lag_{};
    instant lag_updated_at_{};
};

} // namespace citronfall
