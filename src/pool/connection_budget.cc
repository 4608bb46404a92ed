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

/// Idle time after which a borrowed connection is closed. A shorter time would open and close connections with every
/// fluctuation of the load.
constexpr duration borrowed_idle_limit = std::chrono::seconds(1);

std::size_t share_of(double limit, std::size_t daemons)
{
    return std::max<std::size_t>(
        static_cast<std::size_t>(limit / static_cast<double>(std::max<std::size_t>(daemons, 1))), 1);
}

} // namespace

std::size_t fair_share(std::uint32_t limit, std::size_t daemons)
{
    return share_of(limit * idle_fraction, daemons);
}

bool may_open(const connection_demand& demand, instant now)
{
    if (demand.opening >= max_opening) {
        return false;
    }
    if (demand.refused_at && now - *demand.refused_at < refusal_pause) {
        return false;
    }
    if (demand.open == 0) {
        return true;
    }
    return demand.waiting > demand.opening &&
           demand.open < std::max<std::size_t>(share_of(demand.limit * borrow_factor, demand.daemons), 2);
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
