#pragma once

#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/operator_config.h"

#include <map>

namespace citronfall {

/// Weights of members that were put back after they had been leaving.
///
/// Not thread-safe: owned by the decision thread.
class member_warm_up {
public:
    /// Notes which members leave and which are put back.
    void accept(const operator_config& document, instant now);

    /// The part of its usual work that a member gets: 1, or a value that grows evenly from 0.1 to 1 over the
    /// maintenance section's `warm_up_ms`. 0 while the member is leaving.
    [[nodiscard]] double weight(const member_key& member, instant now) const;

private:
    operator_config document_;
    std::map<member_key, instant> since_; ///< When a member was put back.
};

} // namespace citronfall
