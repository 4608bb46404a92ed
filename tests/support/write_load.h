#pragma once

#include "support/gateway_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Callers that write to a gateway_simulation, each an item of its own with every statement, and reconnect to the next
/// daemon after a failure. Remembers which writes were acknowledged. Not thread-safe.
class write_load {
public:
    /// Opens `callers` sessions, spread over the daemons.
    write_load(gateway_simulation& simulation, std::size_t callers);

    /// Advances the simulation and lets each caller write again 20 ms after each answer.
    void run(duration length);

    /// Items whose write was acknowledged and dropped by a change of primary since.
    [[nodiscard]] std::vector<std::string> lost() const;

    /// Writes that were acknowledged at `earliest` or later.
    [[nodiscard]] std::size_t acknowledged_since(instant earliest) const;

private:
    struct caller {
        std::size_t daemon = 0;
        session_number session = 0;
        std::size_t replies_seen = 0;
        std::string item; ///< That the statement in flight writes; empty: none is in flight.
        instant next_at{};
    };
    struct acknowledged_write {
        std::string item;
        instant at{};
    };

    void connect(caller& each);
    void advance(caller& each);

    gateway_simulation& simulation_;
    std::vector<caller> callers_;
    std::vector<acknowledged_write> acknowledged_;
    std::uint64_t last_item_ = 0;
};

} // namespace citronfall
