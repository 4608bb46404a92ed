#pragma once

#include "citronfall/group_view.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "citronfall/member_key.h"
#include "citronfall/member_status.h"
#include "citronfall/operator_config.h"
#include "citronfall/term_history.h"
#include "group/status_round_history.h"
#include "router/read_requirement.h"
#include "router/route_decision.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Settings and hooks of a router.
struct router_options {
    std::string data_center;               ///< Where the daemon runs.
    std::function<std::uint64_t()> random; ///< Uniform 64-bit numbers.
};

/// What a read has already tried.
struct read_progress {
    std::uint32_t refused = 0; ///< Bits of the members that refused the read or could not be reached.
    bool waited = false;       ///< It has already waited for a replica.
};

/// Decides which member a request goes to, from evidence and from this daemon's own load.
///
/// Not thread-safe: owned by the decision thread.
class router {
public:
    explicit router(router_options options) : options_(std::move(options)) {}

    /// Takes over groups, members, data centres, leaving members and the routing section.
    void configure(const operator_config& document);

    /// Takes over what is known of a configured group. To be called after each change of the view.
    void observe(const group_view& view);

    /// Where a read goes. The order of candidates is expected wait plus distance; design.md section 6.
    [[nodiscard]] route_decision route_read(const std::string& group, const read_requirement& requirement,
                                            const read_progress& progress, instant now) const;

    /// The primary of the newest term, unless it is leaving or not known.
    [[nodiscard]] route_decision route_write(const std::string& group) const;

    /// The primary of the newest term, even if it is leaving: for finishing work in progress.
    [[nodiscard]] std::optional<member_key> primary(const std::string& group) const;

    /// Position that a member must cover to serve the read now. Absent if the accepted age is not proved by any round.
    [[nodiscard]] std::optional<log_position> minimum(const std::string& group, const read_requirement& requirement,
                                                      instant now) const;

    /// Whether the member is configured and not leaving.
    [[nodiscard]] bool usable(const member_key& member) const;

    /// Adjusts the number of this daemon's requests that wait for the member or run on it.
    void add_load(const member_key& member, int change);

    /// Takes over how long a statement took, from the call to its answer.
    void measured(const member_key& member, duration taken);

private:
    struct member_state {
        member_key key;
        bool near = false;
        bool leaving = false;
        bool known = false; ///< Observed at least once.
        member_status status;
        instant sent_at;       ///< Of the newest observation.
        double rate = -1;      ///< Entries applied per microsecond; negative while not measured.
        duration distance{};   ///< Round trip of a status call.
        duration service{};    ///< Running time of a statement without the distance.
        std::int64_t load = 0; ///< Requests of this daemon that wait for the member or run on it.
    };

    struct group_state {
        std::vector<member_state> members;
        term_number term = 0;
        std::optional<std::size_t> primary;
        term_history history; ///< Of the newest primary; kept while a newer term has none yet.
        status_round_history rounds;
        duration confirmation{}; ///< Expected time for a majority's evidence.
        std::int64_t slots = 1;
    };

    [[nodiscard]] const group_state* find(const std::string& group) const;
    [[nodiscard]] member_state* find(const member_key& member);
    [[nodiscard]] duration cost(const group_state& group, const member_state& member) const;
    [[nodiscard]] duration catch_up(const member_state& member, const log_position& least, instant now) const;
    [[nodiscard]] std::optional<std::size_t> choose(const group_state& group, const duration* costs) const;
    static void refresh(member_state& member, const status_observation& observation);

    router_options options_;
    routing_config routing_;
    std::map<std::string, group_state> groups_;
};

} // namespace citronfall
