#pragma once

#include "citronfall/instant.h"
#include "citronfall/log_position.h"

#include <optional>
#include <string>

namespace citronfall {

/// Which member leads one service, as proved by members' answers.
///
/// Not thread-safe: owned by the decision thread.
class leadership_view {
public:
    /// Records an answer that proves that `member` led at some time after `sent_at`. `term` is that of its last log
    /// entry, which may precede its own term as leader. Ignores a proof that was sent before the latest one, or before
    /// the same member was lost. Returns whether the leader changed.
    bool proved(const std::string& member, term_number term, instant sent_at);

    /// Records that `member` does not lead or does not answer. Returns whether it was the known leader.
    bool lost(const std::string& member, instant now);

    /// The leader; empty if it is not known.
    [[nodiscard]] const std::optional<std::string>& leader() const { return leader_; }

    /// The last known leader, also after it was lost; empty before the first.
    [[nodiscard]] const std::string& last_leader() const { return last_leader_; }

    /// Term of the last log entry that the last known leader proved its leadership with; 0 before the first.
    [[nodiscard]] term_number last_leader_term() const { return last_leader_term_; }

    /// Highest term seen; 0 if none was.
    [[nodiscard]] term_number term() const { return term_; }

    /// Raises the highest term seen, from a status answer that does not prove leadership.
    void observe_term(term_number term);

    /// When the leader was lost; empty while one is known and before the first.
    [[nodiscard]] std::optional<instant> lost_since() const { return lost_since_; }

private:
    std::optional<std::string> leader_;
    std::string last_leader_;
    term_number last_leader_term_ = 0;
    term_number term_ = 0;
    instant proved_at_{};
    std::optional<instant> lost_since_;
};

} // namespace citronfall
