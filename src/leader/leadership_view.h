#pragma once

#include "citronfall/instant.h"
#include "citronfall/log_position.h"

#include <optional>
#include <string>

namespace citronfall {

/// Which member leads one service, as proved by its answers.
///
/// Not thread-safe: owned by the decision thread.
class leadership_view {
public:
    /// A member proved by an answer that it led after `sent_at`; `term` is that of its newest log entry, which can be
    /// older than its lead. Returns whether the leader changed. A proof that is older than the last one, or than the
    /// loss of the same member, changes nothing.
    bool proved(const std::string& member, term_number term, instant sent_at);

    /// The member does not lead, or does not answer. Returns whether it was held to be the leader.
    bool lost(const std::string& member, instant now);

    /// The leader, if one is known.
    [[nodiscard]] const std::optional<std::string>& leader() const { return leader_; }

    /// The last known leader, also after it was lost.
    [[nodiscard]] const std::string& last_leader() const { return last_leader_; }

    /// Highest term seen; 0 before the first proof.
    [[nodiscard]] term_number term() const { return term_; }

    /// Raises the known term without a proof of who leads it, as status answers tell.
    void observe_term(term_number term);

    /// Since when no leader is known; nothing while one is.
    [[nodiscard]] std::optional<instant> lost_since() const { return lost_since_; }

private:
    std::optional<std::string> leader_;
    std::string last_leader_;
    term_number term_ = 0;
    instant proved_at_{};
    std::optional<instant> lost_since_;
};

} // namespace citronfall
