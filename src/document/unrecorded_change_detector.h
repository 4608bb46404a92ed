#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "citronfall/maintenance_config.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of an unrecorded_change.
struct unrecorded_change_fields {
    std::string object;         ///< "group:NAME" or "section:NAME".
    std::string observed_state; ///< The observed state that no record accounts for.
    std::string recorded_state; ///< The last recorded state and its author.
    instant detected;

    friend auto operator<=>(const unrecorded_change_fields&, const unrecorded_change_fields&) = default;
};

/// A change that was made outside the operators' tool. Automation is paused for the object that it concerns. Operators
/// see it as a "quiet override".
class unrecorded_change : public immutable<unrecorded_change_fields> {
public:
    using immutable::immutable;

    /// One line for operators.
    [[nodiscard]] std::string text() const;
};

/// Hooks and settings of the detection.
struct unrecorded_change_detector_options {
    std::function<void(const std::string& group)> request_failover_record; ///< Reads the record from the platform.
    std::function<void(const std::string&)> log;
    duration grace = std::chrono::seconds(3); ///< Time within which the record of an observed change may arrive.
};

/// Detects changes of a group's primary that no record in the platform accounts for, and pauses automation for them.
///
/// The first observed primary of a group needs no record. Automation of a group is paused until a record accounts for
/// the primary, `resume_after` has passed, or the maintenance section requests that it resumes. Not thread-safe: owned
/// by the decision thread.
class unrecorded_change_detector {
public:
    explicit unrecorded_change_detector(unrecorded_change_detector_options options) : options_(std::move(options)) {}

    /// Handles an observation: according to its members' statuses, the group has the primary `primary` in `term`.
    void observed(const std::string& group, const std::string& primary, term_number term, instant now);

    /// Handles the platform's record of the group: the daemon `leader` chose `primary` in `term`.
    void recorded(const std::string& group, const std::string& primary, term_number term, const std::string& leader,
                  instant now);

    /// Applies the maintenance section in force.
    void accept(const maintenance_config& config, instant now);

    /// Starts and ends the pauses that are due.
    void tick(instant now);

    /// Time of the next required tick().
    [[nodiscard]] std::optional<instant> next() const;

    /// Whether automation is paused for the group.
    [[nodiscard]] bool automation_paused(const std::string& group) const;

    /// The changes for which automation is paused.
    [[nodiscard]] std::vector<unrecorded_change> list() const;

private:
    struct group_state {
        std::string primary;
        term_number term = 0;
        std::string recorded_primary;
        term_number recorded_term = 0;
        std::string leader;
        std::optional<instant> unrecorded_since;
        std::optional<unrecorded_change> change;
        bool resumed = false; ///< Automation has resumed although no record accounts for the state.
    };

    static bool matches_record(const group_state& state);
    void update_pause(const std::string& group, group_state& state, instant now);

    unrecorded_change_detector_options options_;
    maintenance_config config_;
    std::map<std::string, group_state> groups_;
};

} // namespace citronfall
