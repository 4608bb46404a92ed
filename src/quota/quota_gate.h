#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/quota_grant.h"
#include "citronfall/quota_request.h"
#include "citronfall/result.h"
#include "quota/demand_rate.h"
#include "quota/quota_admission.h"
#include "quota/quota_limit.h"
#include "quota/quota_parts.h"
#include "quota/quota_rule.h"
#include "quota/token_bucket.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Identifies an operation that waits at a quota gate; assigned by the gate's user and never reused.
using quota_operation_number = std::uint64_t;

/// Settings and hooks of a quota gate. The hooks are called on the decision thread and must not call the gate.
struct quota_gate_options {
    std::string daemon; ///< Name of this daemon.
    quota_rule rule;
    std::uint64_t first_request = 0; ///< Requests are numbered from here; differs between runs of the daemon.
    /// The daemon that holds a group of parts; empty if none does or it is not connected.
    std::function<std::string(std::uint32_t group)> holder;
    std::function<void(const std::string& daemon, const quota_request&)> send;
    std::function<void(quota_operation_number, const quota_admission&)> decided; ///< For operations that waited.
};

/// State of a tenant's quota at this daemon.
struct gated_quota {
    std::string tenant;
    double rate_per_s = 0;
    double burst = 0;
    std::uint64_t admitted_total = 0;
    std::uint64_t refused_total = 0;
    std::size_t waiting = 0;

    friend auto operator<=>(const gated_quota&, const gated_quota&) = default;
};

/// Decides whether operations of tenants may be sent to members.
///
/// An operation is admitted from what was granted ahead, or from the daemon's own part of the quota. Otherwise it waits
/// (chart `quota_wait`) while the holder of a part of the quota is asked, and then the holder of the other part.
/// Excess is refused at once: after a decline the gate doesn't ask again before the holder expects to grant. Grants
/// lapse after quota_grant_lifetime. A daemon that reaches no holder uses only its own part.
///
/// Not thread-safe: owned by the decision thread.
class quota_gate {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<quota_gate>> make(quota_gate_options options);

    /// Sets the configuration in force: its version, and the limits by tenant. `daemons` is the number of daemons that
    /// have a part of their own (0: not known).
    void configure(std::uint64_t version, const std::map<std::string, quota_limit>& limits, std::size_t daemons,
                   instant now);

    /// Whether operations of the tenant are limited.
    [[nodiscard]] bool limits(const std::string& tenant) const { return tenants_.contains(tenant); }

    /// Decides on an operation of a limited tenant. If it has to wait, `decided` is called later, unless it is
    /// cancelled. Precondition: limits(tenant).
    [[nodiscard]] quota_admission admit(const std::string& tenant, quota_operation_number operation, instant now);

    /// Gives back the admission of an operation that no member has run, for another one. Without effect if it has
    /// lapsed.
    void give_back(const std::string& tenant, const quota_admission& admission, instant now);

    /// Forgets a waiting operation. Returns false if it does not wait.
    bool cancel(quota_operation_number operation, instant now);

    /// Handles the answer of a holder. Late answers have no effect.
    void handle(const quota_grant& grant, instant now);

    /// Reports that the connection to a daemon was lost. Its holders are not expected to answer.
    void disconnected(const std::string& daemon, instant now);

    /// Sends the requests that are due. Call it after each event.
    void flush(instant now);

    /// Ends what has waited for too long. Call it when next() is reached.
    void tick(instant now);

    /// When tick() has to be called next; nothing if nobody waits.
    [[nodiscard]] std::optional<instant> next() const;

    /// The quotas of all limited tenants.
    [[nodiscard]] std::vector<gated_quota> quotas() const;

    /// Requests sent so far.
    [[nodiscard]] std::uint64_t requests_total() const { return requests_total_; }

private:
    enum class event : std::uint8_t { sent, granted, declined, expired, cancelled };

    /// An operation that waits (chart `quota_wait`).
    struct waiting_operation {
        quota_operation_number number = 0;
        state_id state{};
        std::string tenant;
        std::uint32_t part = 0;    ///< Part that is asked.
        std::uint64_t request = 0; ///< Request that asks for it.
        instant deadline{};
    };
    /// Operations granted ahead.
    struct granted_ahead {
        instant lapses_at{};
        std::uint32_t operations = 0;
    };
    /// A part of a tenant's quota as seen from here.
    struct part_state {
        instant closed_until{};      ///< No request before.
        instant retry_at{};          ///< When refused callers may come back.
        std::uint32_t requested = 0; ///< Operations ahead in unanswered requests.
    };
    struct tenant_state {
        quota_limit limit;
        token_bucket own;
        std::deque<granted_ahead> ahead;
        std::array<part_state, quota_part_count> parts;
        std::uint32_t preferred = 0; ///< Part that is asked first; it differs between daemons.
        demand_rate demand;
        std::deque<quota_operation_number> waiting; ///< Oldest first.
        std::uint64_t admitted_total = 0;
        std::uint64_t refused_total = 0;
    };
    struct sent_request {
        std::string daemon;
        instant sent_at{};
        std::vector<quota_demand> demands;
    };
    struct context {
        quota_gate& gate;
        waiting_operation& operation;
        std::uint64_t request = 0; ///< For `sent`.
        instant lapses_at{};       ///< For `granted`.
        instant now;
    };

    explicit quota_gate(quota_gate_options options) : options_(std::move(options)) {}

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(quota_operation_number number, event what, instant now, std::uint64_t request = 0,
              instant lapses_at = {});
    void decide(const waiting_operation& operation, const quota_admission& admission);
    [[nodiscard]] static std::optional<instant> take_granted(tenant_state& tenant, instant now);
    [[nodiscard]] std::optional<std::uint32_t> open_part(const std::string& name, const tenant_state& tenant,
                                                         instant now) const;
    [[nodiscard]] bool is_open(const std::string& name, const tenant_state& tenant, std::uint32_t part,
                               instant now) const;
    [[nodiscard]] quota_admission refusal(const tenant_state& tenant, instant now) const;
    void grant(tenant_state& tenant, std::uint32_t operations, instant lapses_at, instant now);
    void apply(const sent_request& sent, std::uint64_t number, const quota_allowance& allowance, instant now);
    void decline(const std::string& tenant, std::uint32_t part, std::uint64_t request, instant now);
    void give_up(std::uint64_t number, instant now);
    [[nodiscard]] std::uint32_t wanted_ahead(tenant_state& tenant, instant now) const;
    void send_request(const std::string& daemon, std::vector<quota_demand> demands, instant now);

    quota_gate_options options_;
    std::optional<chart_program<event, context>> program_;
    std::uint64_t version_ = 0;
    std::map<std::string, tenant_state> tenants_;
    std::map<quota_operation_number, waiting_operation> operations_;
    std::map<std::uint64_t, sent_request> requests_; ///< Unanswered ones, by number; oldest first.
    std::set<std::string> asking_;                   ///< Tenants for which a request may be due.
    bool urgent_ = false;                            ///< An operation waits to be asked for.
    instant last_flush_{};
    std::uint64_t requests_total_ = 0;
};

} // namespace citronfall
