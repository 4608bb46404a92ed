#pragma once

#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/operator_config.h"

#include <map>

namespace citronfall {

/// Slow start: raises the weight of a member gradually after it returns from maintenance.
///
/// Not thread-safe: owned by the decision thread.
class member_warm_up {
public:
    /// Tracks which members the maintenance section lists as leaving, and which ones return.
    void accept(const operator_config& document, instant now);

    /// Fraction of its usual load that a member gets: 0 while it is leaving, then a value that grows linearly from 0.1
    /// to 1 over the maintenance section's `warm_up_ms`; otherwise 1.
    [[nodiscard]] double weight(const member_key& member, instant now) const;

private:
    operator_config document_;
    std::map<member_key, instant> returned_at_; ///< Time at which each member returned.
};

} // namespace citronfall
