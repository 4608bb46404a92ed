#include "pool/connection_budget.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Fraction of a member's limit that daemons keep open while idle. The connections of an instance that lost power count
/// against the limit for seconds, so daemons that restart need about as many again.
constexpr double idle_fraction = 0.45;

/// Upper bound on the connections of one daemon, as a multiple of its equal part of the limit: a load peak at one
/// daemon must not leave the others without connections.
constexpr double borrow_factor = 1.3;

/// Limit on connections that are being opened. Each occupies a slot of the member during its setup.
constexpr std::size_t max_opening = 2;

/// Pause after the member refused a connection because its limit was reached. Borrowed connections are returned within
/// `borrowed_idle_limit`.
constexpr duration refusal_pause = std::chrono::milliseconds(500);

/// Upper bound on the pause, which doubles with each refusal in succession, of a daemon that has connections.
constexpr duration max_refusal_pause = std::chrono::seconds(2);

/// For how long members keep the connections of a daemon that has lost power, with a margin for its own start.
constexpr duration former_connection_lifetime = std::chrono::milliseconds(3500);

/// Idle time after which a borrowed connection is closed. A shorter time would open and close connections with every
/// fluctuation of the load.
constexpr duration borrowed_idle_limit = std::chrono::seconds(1);

std::size_t share_of(double limit, std::size_t daemons)
{
    return std::max<std::size_t>(
        static_cast<std::size_t>(limit / static_cast<double>(std::max<std::size_t>(daemons, 1))), 1);
}

/// A daemon without a connection tries again at a constant interval, as its callers cannot be served.
duration pause_after_refusal(const connection_demand& demand)
{
    if (demand.open == 0 || demand.refusals == 0) {
        return refusal_pause;
    }
    constexpr std::size_t max_doublings = 2;
    return std::min<duration>(refusal_pause * (1U << std::min(demand.refusals - 1, max_doublings)), max_refusal_pause);
}

/// Connections that this daemon may have at most once a member has refused one, while it may count former connections.
std::size_t part_beside_former(const connection_demand& demand)
{
    return std::max(share_of(demand.limit * (1 - idle_fraction), demand.daemons), std::size_t{2});
}

/// Connections that this daemon may have at most.
std::size_t upper_bound_of(const connection_demand& demand, instant now)
{
    if (now < demand.former_until) {
        // Former connections may be gone already. One attempt at a time finds out, until the member refuses one.
        const std::size_t part = part_beside_former(demand);
        const bool may_try = !demand.refused_at && demand.opening == 0;
        if (demand.open < part || !may_try) {
            return part;
        }
    }
    return std::max(share_of(demand.limit * borrow_factor, demand.daemons), std::size_t{2});
}

} // namespace

instant former_connections_end(instant started_at)
{
    return started_at + former_connection_lifetime;
}

std::size_t fair_share(std::uint32_t limit, std::size_t daemons)
{
    return share_of(limit * idle_fraction, daemons);
}

bool may_open(const connection_demand& demand, instant now)
{
    if (demand.opening >= (demand.refusals > 0 ? 1 : max_opening)) {
        return false;
    }
    if (demand.refused_at && now - *demand.refused_at < pause_after_refusal(demand)) {
        return false;
    }
    if (demand.open == 0) {
        return true;
    }
    if (demand.useful && demand.open >= *demand.useful) {
        return false;
    }
    return demand.waiting > demand.opening && demand.open < upper_bound_of(demand, now);
}

instant surplus_check_time(instant idle_since)
{
    return idle_since + borrowed_idle_limit;
}

bool should_close(const connection_demand& demand, instant idle_since, instant now)
{
    const std::size_t kept = demand.is_holder ? fair_share(demand.limit, demand.daemons) : 0;
    return demand.open > kept && now >= surplus_check_time(idle_since);
}

} // namespace citronfall
