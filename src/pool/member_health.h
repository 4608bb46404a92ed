#pragma once

#include "citronfall/instant.h"

#include <optional>

namespace citronfall {

/// Whether a daemon can reach a member.
enum class member_reachability {
    unknown, ///< Nothing has been tried yet.
    reachable,
    silent, ///< A probe or connection attempt, which a live member answers at once, got no answer.
    down,   ///< The instance answers, but the member's process does not run.
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

/// Derives the reachability of a member from answers, probes and connection attempts.
///
/// Not thread-safe: owned by the decision thread.
class member_health {
public:
    /// The member sent any answer at `now`.
    void answered(instant now);

    /// Something that a live member answers at once, such as a probe or a connection attempt, got no answer; it was
    /// sent at `sent_at`.
    void unanswered(instant sent_at);

    /// The instance refused a connection at `now` because nothing listens at the address.
    void refused(instant now);

    /// Current reachability.
    [[nodiscard]] member_reachability reachability() const { return reachability_; }

    /// When the member last answered; nothing if it never did.
    [[nodiscard]] std::optional<instant> answered_at() const { return answered_at_; }

private:
    member_reachability reachability_ = member_reachability::unknown;
    std::optional<instant> answered_at_;
};

} // namespace citronfall
