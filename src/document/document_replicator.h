#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/checked_document.h"
#include "citronfall/document_check_request.h"
#include "citronfall/document_check_result.h"
#include "citronfall/document_watch_command.h"
#include "citronfall/instant.h"
#include "citronfall/outgoing_peer_message.h"
#include "citronfall/peer_candidates.h"
#include "citronfall/peer_event.h"
#include "citronfall/platform_call.h"
#include "citronfall/platform_event.h"
#include "citronfall/result.h"
#include "citronfall/section_status.h"
#include "document/daemon_view_table.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronfall {

/// Hooks and settings of a document_replicator.
struct document_replicator_options {
    std::string daemon;
    std::string region;
    std::function<void(const outgoing_peer_message&)> peer;   ///< Sends a message to the peer thread.
    std::function<void(const platform_call&)> platform;       ///< Sends a call to the platform thread.
    std::function<void(const document_check_request&)> check; ///< Sends a document to the document thread for checking.
    std::function<void(const document_watch_command&)> watch; ///< Starts or stops the watch on the watch thread.
    std::function<void(const peer_candidates&)> candidates;   ///< Sends the list of live daemons to the peer thread.
    std::function<void(const operator_config&, instant)> put_in_force;
    std::function<std::uint64_t()> next_number; ///< Returns a new unique number for a platform call.
    std::function<std::uint64_t()> random;
    std::function<std::int64_t()> wall_ms;       ///< Milliseconds since 1970; used only to tell when overrides end.
    std::function<void(std::string_view)> count; ///< Increments the counter of this name.
    std::function<void(const std::string&)> log;
    std::function<std::vector<std::string>(document_part_id)> unrecorded_changes; ///< Those that concern a section.
};

/// Replicates the operators' document: keeps one daemon's copy current and propagates it to the neighbours by gossip.
///
/// The document comes from the platform's key-value store or from a neighbour whose digest shows a higher revision. A
/// daemon reads the store at start and while no neighbour sends anything; it watches the store while it holds one of
/// the region's two watcher leases. A document takes effect as a whole, after the document thread has checked it, and
/// only if its revision is higher than the one in force; no section ever reverts to an older revision. A stored
/// document whose values do not match its history does not take effect; the sections concerned are reported as
/// diverged.
///
/// Not thread-safe: owned by the decision thread.
class document_replicator {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<document_replicator> make(document_replicator_options options);

    /// Handles digests and section updates, and tracks which neighbours are connected. Ignores other messages.
    void apply(const peer_event& event, instant now);

    /// Handles the completion of a platform call. Returns whether this object made the call.
    bool apply(const platform_event& event, instant now);

    /// Handles the result of a check, or of a watch that failed.
    void apply(const document_check_result& event, instant now);

    /// Sends the digests and makes the platform calls that are due. Requests a check when an override has ended.
    void tick(instant now);

    /// Time of the next required tick().
    [[nodiscard]] std::optional<instant> next() const;

    /// The document in force; revision 0 if there is none.
    [[nodiscard]] const checked_document& in_force() const { return in_force_; }

    /// Status of all sections.
    [[nodiscard]] std::vector<section_status> status(instant now) const;

    /// Whether this daemon holds a watcher lease.
    [[nodiscard]] bool watching() const { return watching_; }

    /// Known daemons, this one included.
    [[nodiscard]] std::size_t daemons() const { return views_.size(); }

private:
    enum class section_event { accepted, announced, overrides_changed, diverged, resolved };

    struct section_replica {
        state_id state{};
        instant since;
        std::string divergence;
    };

    struct step_context {
        document_replicator& replicator;
        document_part_id part = document_part_id::databases;
        instant now;
    };

    struct neighbour {
        peer_digest digest;
        instant last_heard;
        instant update_sent_at;          ///< Time at which the last section update was sent.
        std::uint64_t sent_revision = 0; ///< Document revision of that update.
        std::uint64_t sent_base = 0;     ///< Base revision of that update.
    };

    enum class call_kind { read, lease, instances };

    using program = chart_program<section_event, step_context>;

    document_replicator(document_replicator_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void fire(document_part_id part, section_event event, instant now);
    void fire_all(section_event event, instant now);
    [[nodiscard]] bool overridden(document_part_id part) const;
    [[nodiscard]] bool active(const document_override& each) const;
    void put_in_force(const checked_document& document, instant now);
    void mark_diverged(const document_check_result& event, instant now);
    void mark_diverged(document_part_id part, const std::string& why, instant now);
    void receive(const std::string& from, const peer_digest& digest, instant now);
    void receive(const std::string& from, const section_update& update, instant now);
    void send_digest(const std::string& to, instant now);
    void send_update(const std::string& to, neighbour& target, instant now);
    void update_watch();
    bool accept_entry(const document_check_result& event);
    void call(call_kind kind, platform_call_fields fields, instant now);
    void read_platform(instant now);
    void request_lease(instant now);
    void request_instances(instant now);
    [[nodiscard]] duration::rep fleet_scale() const;
    [[nodiscard]] bool isolated(instant now) const;
    [[nodiscard]] duration jitter(duration below) const;
    [[nodiscard]] std::uint64_t revision() const { return in_force_->state->revision; }

    document_replicator_options options_;
    program program_;
    daemon_view_table views_;
    checked_document in_force_;
    std::vector<part_digest> digests_; ///< Digests of all parts of the document in force.
    std::array<section_replica, section_count> sections_;
    std::map<std::string, neighbour> neighbours_;
    std::uint64_t announced_revision_ = 0; ///< Highest accepted revision that any digest announced.
    std::uint64_t checking_revision_ = 0;  ///< Revision of the peer's document that is being checked; 0: none.
    instant checking_since_;
    std::map<std::uint64_t, call_kind> calls_;  ///< Outstanding platform calls by number.
    kv_revision entry_revision_ = 0;            ///< Highest key-value revision of the document's entry seen so far.
    std::uint64_t entry_document_revision_ = 0; ///< Highest document revision seen in the entry.
    bool watching_ = false;
    instant lease_requested_at_;
    instant lease_expiry_;     ///< Start of the last successful lease call plus the lease duration.
    unsigned lease_index_ = 0; ///< Index of the region's watcher lease that this daemon holds or tries to acquire.
    instant next_digest_;
    instant next_read_;
    instant next_lease_;
    instant next_instances_;
    instant last_recheck_; ///< Time of the last check of the document in force for overrides that have ended.
};

} // namespace citronfall
