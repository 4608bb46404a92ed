#pragma once

#include "citronfall/instant.h"

#include <optional>

namespace citronfall {

/// What a daemon concludes about the reach of a member.
enum class member_reachability {
    unknown, ///< Nothing was tried yet.
    reachable,
    silent, ///< Something that a live member answers at once got no answer.
    down,   ///< The instance answers, the member's process does not.
};

/// Name for logs and counters. Thread-safe.
[[nodiscard]] constexpr const char* member_reachability_name(member_reachability reachability)
{
    switch (reachability) {
    case member_reachability::unknown:
        return "unknown";
    case member_reachability::reachable:
        return "good";
    case member_reachability::silent:
        return "silent";
    case member_reachability::down:
        break;
    }
    return "down";
}

/// Tracks from answers, probes and connections whether a member can be reached.
///
/// Not thread-safe: owned by the decision thread.
class member_health {
public:
    /// The member answered anything at `now`.
    void answered(instant now);

    /// A probe, or a connection, that a live member answers at once got no answer; it was sent at `sent_at`.
    void unanswered(instant sent_at);

    /// The instance refused a connection at `now` because nothing listens.
    void refused(instant now);

    /// Present conclusion.
    [[nodiscard]] member_reachability reachability() const { return reachability_; }

    /// When the member last answered, if it ever did.
    [[nodiscard]] std::optional<instant> answered_at() const { return answered_at_; }

private:
    member_reachability reachability_ = member_reachability::unknown;
    std::optional<instant> answered_at_;
};

} // namespace citronfall
