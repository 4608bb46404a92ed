#pragma once

#include "citronfall/instant.h"

#include <optional>

namespace citronfall {

/// What a daemon concludes about the reach of a member.
enum class member_reach {
    unknown, ///< Nothing was tried yet.
    good,
    silent, ///< Something that a live member answers at once got no answer.
    down,   ///< The instance answers, the member's process does not.
};

/// Name for logs and counters. Thread-safe.
[[nodiscard]] constexpr const char* member_reach_name(member_reach reach)
{
    switch (reach) {
    case member_reach::unknown:
        return "unknown";
    case member_reach::good:
        return "good";
    case member_reach::silent:
        return "silent";
    case member_reach::down:
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
    [[nodiscard]] member_reach reach() const { return reach_; }

    /// When the member last answered, if it ever did.
    [[nodiscard]] std::optional<instant> answered_at() const { return answered_at_; }

private:
    member_reach reach_ = member_reach::unknown;
    std::optional<instant> answered_at_;
};

} // namespace citronfall
