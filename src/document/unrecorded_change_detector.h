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

/// Fields of a quiet override.
struct unrecorded_change_fields {
    std::string object; ///< "group:NAME" or "section:NAME".
    std::string found;  ///< The state that no record explains.
    std::string known;  ///< The last recorded state, with whom it came from.
    instant detected;

    friend auto operator<=>(const unrecorded_change_fields&, const unrecorded_change_fields&) = default;
};

/// A change that somebody made without the tool, and to which automation yields.
class unrecorded_change : public immutable<unrecorded_change_fields> {
public:
    using immutable::immutable;

    /// One line for people.
    [[nodiscard]] std::string text() const;
};

/// Hooks of the detection.
struct unrecorded_change_detector_options {
    std::function<void(const std::string& group)>
        request_failover_record; ///< Asks for the recorded primary of a group.
    std::function<void(const std::string&)> log;
    duration grace = std::chrono::seconds(3); ///< Time in which a record may follow the change that it explains.
};

/// Finds changes of primary that no record explains, and says how long automation yields to them.
///
/// The first primary that is seen without a record is taken as given. Automation yields for a group until its state is
/// explained by a record, `resume_after` has passed, or the maintenance section tells it to resume. Not thread-safe:
/// owned by the decision thread.
class unrecorded_change_detector {
public:
    explicit unrecorded_change_detector(unrecorded_change_detector_options options) : options_(std::move(options)) {}

    /// The group's members report `primary` in `term`.
    void observed(const std::string& group, const std::string& primary, term_number term, instant now);

    /// The platform's record names `primary` in `term`, set by `leader`.
    void recorded(const std::string& group, const std::string& primary, term_number term, const std::string& leader,
                  instant now);

    /// The maintenance section in force.
    void accept(const maintenance_config& config, instant now);

    /// Detects and ends what is due.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const;

    /// Whether automation leaves the group alone.
    [[nodiscard]] bool automation_paused(const std::string& group) const;

    /// The quiet overrides that automation yields to.
    [[nodiscard]] std::vector<unrecorded_change> list() const;

private:
    struct group_state {
        std::string primary;
        term_number term = 0;
        std::string recorded_primary;
        term_number recorded_term = 0;
        std::string leader;
        std::optional<instant> unexplained_since;
        std::optional<unrecorded_change> found;
        bool released = false; ///< Automation has resumed although the state is still unexplained.
    };

    static bool explained(const group_state& state);
    void review(const std::string& group, group_state& state, instant now);

    unrecorded_change_detector_options options_;
    maintenance_config config_;
    std::map<std::string, group_state> groups_;
};

} // namespace citronfall
