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
struct lease_client_options {
    duration time_to_live{};
    std::function<call_number(call_body, duration timeout)> call;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// Acquires and renews a lease in the store, to which entries of this daemon are attached (chart `lease`).
///
/// Not thread-safe: owned by the decision thread.
class lease_client {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<lease_client>> make(lease_client_options options);

    /// Requests or renews the lease when due. Call it every few tenths of a second.
    void tick(instant now);

    /// Handles an answer of the platform. Returns false, without effect, if the call was not made by this object.
    bool handle(const store_answer& answer, instant now);

    /// Reports the era of any answer of the store. A lease of an earlier era is forgotten, not revoked: a restored
    /// store may have granted its number to another daemon.
    void note_era(store_era era, instant now);

    /// Revokes the lease, so that other daemons can take over immediately.
    void leave(instant now);

    /// The lease; 0 if there is none.
    [[nodiscard]] lease_number lease() const { return lease_; }

    /// Era in which the lease was granted; 0 if the store states none.
    [[nodiscard]] store_era era() const { return era_; }

    /// Whether the lease cannot have expired at `now`, judged by when the last successful renewal was sent.
    [[nodiscard]] bool valid(instant now) const;

private:
    enum class event : std::uint8_t { due, granted, renewed, missing, restored, failed, leave };
    struct context {
        lease_client& client;
        const store_answer* answer = nullptr;
        instant now;
    };

    explicit lease_client(lease_client_options options);

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event what, const store_answer* answer, instant now);
    void send(call_body body, instant now);
    [[nodiscard]] event event_of(const store_answer& answer) const;

    lease_client_options options_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    call_number pending_call_ = 0;
    instant sent_at_{};    ///< When the call in flight was sent.
    instant valid_from_{}; ///< When the last successful request or renewal was sent.
    instant next_attempt_{};
    backoff backoff_;
    lease_number lease_ = 0;
    store_era era_ = 0;       ///< In which the lease was granted.
    store_era known_era_ = 0; ///< Latest era that an answer stated.
    duration time_to_live_{};
};

} // namespace citronfall
