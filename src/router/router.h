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

/// Earlier attempts to route a read.
struct read_progress {
    std::uint32_t refused = 0; ///< Bit mask of the members that refused the read or were unreachable.
    bool waited = false;       ///< It has already waited for a replica.
};

/// Chooses the member for each request, from the members' statuses and this daemon's own load on them.
///
/// Not thread-safe: owned by the decision thread.
class router {
public:
    explicit router(router_options options) : options_(std::move(options)) {}

    /// Applies the configured groups, members, data centres, leaving members and routing settings.
    void configure(const operator_config& config);

    /// Applies the latest statuses of a configured group. To be called after each change of the view.
    void observe(const group_view& view);

    /// Routes a read to the member with the lowest cost: expected wait plus round-trip time (design.md, section 6).
    [[nodiscard]] route_decision route_read(const std::string& group, const read_requirement& requirement,
                                            const read_progress& progress, instant now) const;

    /// Routes a write to the primary of the newest term, unless it is leaving or unknown.
    [[nodiscard]] route_decision route_write(const std::string& group) const;

    /// The primary of the newest term, even if it is leaving, for work that is already in progress.
    [[nodiscard]] std::optional<member_key> primary(const std::string& group) const;

    /// Position that a member must have applied to serve the read now. Absent if no status round proves the accepted
    /// staleness.
    [[nodiscard]] std::optional<log_position> minimum_position(const std::string& group,
                                                               const read_requirement& requirement, instant now) const;

    /// Whether the member is configured and not leaving.
    [[nodiscard]] bool accepts_requests(const member_key& member) const;

    /// Changes the number of this daemon's requests that wait for the member or run on it.
    void change_load(const member_key& member, int change);

    /// Records how long a statement took, from the call to its answer.
    void record_service_time(const member_key& member, duration taken);

private:
    struct member_state {
        member_key key;
        bool same_data_center = false;
        bool leaving = false;
        bool status_known = false; ///< A status has been observed.
        member_status status;
        instant sent_at;         ///< Send time of the newest observation.
        double apply_rate = -1;  ///< Log entries applied per microsecond; negative until measured.
        duration round_trip{};   ///< Smoothed round-trip time of a status call.
        duration service_time{}; ///< Smoothed run time of a statement, without the round trip.
        std::int64_t load = 0;   ///< Requests of this daemon that wait for the member or run on it.
    };

    struct group_state {
        std::vector<member_state> members;
        term_number term = 0;
        std::optional<std::size_t> primary;
        term_history history; ///< History of the newest primary's log; kept while a newer term has no primary.
        status_round_history rounds;
        duration confirmation_time{}; ///< Expected time until a majority has reported its status.
        std::int64_t slots = 1;
    };

    [[nodiscard]] const group_state* find(const std::string& group) const;
    [[nodiscard]] member_state* find(const member_key& member);
    [[nodiscard]] duration expected_cost(const group_state& group, const member_state& member) const;
    [[nodiscard]] duration time_to_apply(const member_state& member, const log_position& required, instant now) const;
    [[nodiscard]] std::optional<std::size_t> choose(const group_state& group, const duration* costs) const;
    static void refresh(member_state& member, const status_observation& observation);

    router_options options_;
    routing_config routing_;
    std::map<std::string, group_state> groups_;
};

} // namespace citronfall
