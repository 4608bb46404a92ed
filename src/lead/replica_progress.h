#pragma once

#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "lead/evidence_log.h"
#include "lead/read_floor.h"

#include <optional>

namespace citronfall {

/// Estimates from a member's answers how far it is behind the primary, so that reads avoid members that would refuse
/// them. The member itself checks each read; a wrong estimate costs one attempt.
///
/// Not thread-safe: owned by the decision thread.
class replica_progress {
public:
    /// The member answered with its position at `now`. `evidence` tells when the primary went beyond it.
    void answered(const log_position& position, const evidence_log& evidence, instant now);

    /// The member refused a read for lack of `floor` at `now`.
    void refused(const read_floor& floor, instant now);

    /// Whether the member probably holds `floor` at `now`.
    [[nodiscard]] bool holds(const read_floor& floor, instant now) const;

    /// Present estimate of the time between a commit and its arrival in the member's log.
    [[nodiscard]] duration lag() const { return lag_; }

private:
    std::optional<log_position> position_;
    duration lag_{};
    instant lag_seen_{};
};

} // namespace citronfall
