#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace citronfall {

/// Result of a statement as far as it tells of the member's load.
enum class pace_signal : std::uint8_t {
    answered,
    refused,    ///< For lack of a free slot.
    unanswered, ///< Timed out, or its connection was lost.
};

/// Where a ramp starts.
struct pace_start {
    std::uint32_t slots = 1;    ///< Statements that the member runs at a time.
    std::size_t holders = 1;    ///< Daemons that send it statements, including this one.
    std::size_t position = 0;   ///< Of this daemon among them.
    duration typical_latency{}; ///< Expected time of an answer.

    friend auto operator<=>(const pace_start&, const pace_start&) = default;
};

/// How the other members of the service answer.
struct pace_reference {
    std::optional<duration> latency{}; ///< Empty if no other member has answered.
    double refused_share = 0;          ///< Share of the statements that they refuse for lack of a free slot.

    friend auto operator<=>(const pace_reference&, const pace_reference&) = default;
};

/// How many statements this daemon may have in flight on a member that has just started or recovered.
///
/// Answers the load of all daemons that turn to such a member at once, and the opposite: one that stays unused for what
/// it did before. The ramp starts at this daemon's part of half the member's slots. A part below one statement means
/// pauses between statements; the daemons begin one after the other. The allowance grows with each answer in good time,
/// compared with the other members of the service, and shrinks with refusals beyond theirs, slow answers and
/// time-outs. The ramp ends when the last statements were all answered in good time without pauses between them, or the
/// allowance lets this daemon fill all slots alone. Not thread-safe: owned by the decision thread.
class member_pace {
public:
    /// Starts a ramp, also during one.
    void begin(const pace_start& start, instant now);

    /// Whether a ramp is in progress.
    [[nodiscard]] bool ramping() const { return ramping_; }

    /// Whether one more statement may be sent while `running` are in flight.
    [[nodiscard]] bool allows(std::size_t running, instant now) const;

    /// Whether a statement that no other member can serve may be sent: one at a time always may.
    [[nodiscard]] bool allows_only_choice(std::size_t running, instant now) const;

    /// Reports the result of a statement, and the time from sending it if it was answered.
    void observe(pace_signal signal, duration latency, const pace_reference& others, instant now);

    /// Statements that may be in flight; below 1, the share of the time in which one may be.
    [[nodiscard]] double allowance() const { return allowance_; }

    /// Connections that can be of use.
    [[nodiscard]] std::size_t useful_connections() const;

    /// End of the pause before the next statement.
    [[nodiscard]] instant next_send() const { return next_send_; }

    /// Share of recent statements that the member refused for lack of a free slot.
    [[nodiscard]] double refused_share(instant now) const;

private:
    void add_latency(duration latency, instant now);
    [[nodiscard]] double slowness(const pace_reference& others) const;
    void grow();
    void shrink(double factor, instant now);
    void pause(pace_signal signal, duration latency, const pace_reference& others, instant now);
    void end_if_calm();

    bool ramping_ = false;
    double allowance_ = 0;
    double start_allowance_ = 0;
    bool overloaded_ = false; ///< There was a sign of overload during the ramp.
    duration longest_pause_{};
    double slots_ = 1;
    double refused_share_ = 0; ///< As of `observed_at_`.
    instant observed_at_{};
    duration typical_latency_{};
    duration average_latency_{}; ///< Of answers since the start of the ramp.
    instant answered_at_{};
    instant next_send_{};
    instant shrunk_at_{};
    std::size_t calm_answers_ = 0; ///< Answers in good time in a row.
};

} // namespace citronfall
