#pragma once

#include "citronfall/error_kind.h"
#include "support/gateway_simulation.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace citronfall {

/// Caller in virtual time that makes transactions of two writes on one daemon, one after the other. It starts a new
/// session after each failure. Not thread-safe.
class booking_desk {
public:
    /// A transaction: BEGIN, two writes of items that no other booking writes, COMMIT.
    struct booking {
        std::vector<std::string> items{}; ///< Of the writes that were sent.
        bool commit_sent = false;
        bool confirmed = false;
        std::optional<error_kind> failure{}; ///< The answer that ended it.
    };

    booking_desk(gateway_simulation& simulation, std::size_t daemon, std::string name, std::uint64_t seed);

    /// Takes an answer that has arrived and sends the next statement when it is due.
    void step();

    [[nodiscard]] const std::vector<booking>& bookings() const { return bookings_; }

private:
    [[nodiscard]] std::optional<statement_reply> take_answer();
    void take(const statement_reply& answer);
    void send(const std::string& text);
    void pause();

    gateway_simulation& simulation_;
    std::size_t daemon_;
    std::string name_;
    std::mt19937_64 random_;
    session_number session_ = 0; ///< 0: none is open.
    std::size_t answers_ = 0;    ///< Taken in this session, with the one to its start.
    bool waiting_ = false;       ///< For the answer to the last statement.
    instant next_at_{};          ///< When the next statement is due.
    std::vector<booking> bookings_;
};

/// The promises on transactions that the commits of the service break; empty if they hold.
[[nodiscard]] std::vector<std::string> broken_promises(const gateway_simulation& simulation,
                                                       const std::vector<booking_desk>& desks);

} // namespace citronfall
