#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "core/backoff.h"
#include "mirror/store_answer.h"
#include "mirror/store_call.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// Settings and hooks of a lease keeper. The hooks are called on the decision thread.
struct lease_keeper_options {
    duration time_to_live{};
    std::function<call_number(call_body, duration timeout)> call;
    std::function<void(const std::string&, const std::string&)> log; ///< Event and its fields.
};

/// Holds the one lease of this daemon in the store, to which its registration and its duties are bound (chart `lease`).
///
/// Not thread-safe: owned by the decision thread.
class lease_keeper {
public:
    /// Error (bad_request): the chart does not fit.
    [[nodiscard]] static result<std::unique_ptr<lease_keeper>> make(lease_keeper_options options);

    /// Asks for the lease or renews it when it is time. To be called every few tens of milliseconds.
    void tick(instant now);

    /// An answer of the platform; ignored unless it belongs to the lease. Returns whether it did.
    bool handle(const store_answer& answer, instant now);

    /// Ends the lease, so that other daemons take over at once.
    void leave(instant now);

    /// The lease; 0 while there is none.
    [[nodiscard]] lease_number lease() const { return lease_; }

    /// Whether the lease certainly stands at `now`: its last renewal was sent less than its time to live ago.
    [[nodiscard]] bool valid(instant now) const;

private:
    enum class event : std::uint8_t { due, granted, renewed, missing, failed, leave };
    struct context {
        lease_keeper& keeper;
        const store_answer* answer = nullptr;
        instant now;
    };

    explicit lease_keeper(lease_keeper_options options);

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event what, const store_answer* answer, instant now);
    void send(call_body body, instant now);
    [[nodiscard]] event event_of(const store_answer& answer) const;

    lease_keeper_options options_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    call_number pending_ = 0;
    instant sent_at_{};    ///< Of the call in progress.
    instant valid_from_{}; ///< When the last successful call for the lease was sent.
    instant next_attempt_{};
    backoff failure_pause_;
    lease_number lease_ = 0;
    duration time_to_live_{};
};

} // namespace citronfall
