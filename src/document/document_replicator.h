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

/// Hooks and settings of a document keeper.
struct document_replicator_options {
    std::string daemon;
    std::string region;
    std::function<void(const outgoing_peer_message&)> peer;   ///< Hands a message to the peer thread.
    std::function<void(const platform_call&)> platform;       ///< Hands a call to the platform thread.
    std::function<void(const document_check_request&)> check; ///< Hands a document to the document thread.
    std::function<void(const document_watch_command&)> watch; ///< Tells the watch thread what to do.
    std::function<void(const peer_candidates&)> candidates;   ///< Hands the live daemons to the peer thread.
    std::function<void(const operator_config&, instant)> put_in_force;
    std::function<std::uint64_t()> next_number; ///< A platform call number never used before.
    std::function<std::uint64_t()> random;
    std::function<std::int64_t()> wall_ms; ///< Milliseconds since 1970; only the ends of overrides depend on it.
    std::function<void(std::string_view)> count;
    std::function<void(const std::string&)> log;
    std::function<std::vector<std::string>(document_part_id)>
        unrecorded_changes; ///< Changes outside the tool that touch a section.
};

/// Keeps the document in force on one daemon and spreads it to the neighbours.
///
/// Sources are the platform (read at the start, when no neighbour is heard, and by a waiting watch while this daemon
/// holds one of the region's two watcher leases) and the neighbours' digests. A document comes into force as a whole,
/// after the document thread has checked it, and only if its revision is higher; no section ever goes back. A value of
/// the platform that its history does not lead to does not come into force: its sections are shown as diverged.
///
/// Not thread-safe: owned by the decision thread.
class document_replicator {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<document_replicator> make(document_replicator_options options);

    /// Takes digests and section updates, and notes which neighbours are connected. Ignores other messages.
    void apply(const peer_event& event, instant now);

    /// A platform call has ended. Whether it was a call of this keeper.
    bool apply(const platform_event& event, instant now);

    /// A document was checked, or could not be read.
    void apply(const document_check_result& event, instant now);

    /// Sends the digests, reads and lease calls that are due.
    void tick(instant now);

    /// When tick() is next needed.
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

    struct section_row {
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
        instant heard;
        instant updated;                 ///< When an update was last sent.
        std::uint64_t sent_revision = 0; ///< Of that update.
        std::uint64_t sent_base = 0;     ///< Of that update.
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
    void diverge(const document_check_result& event, instant now);
    void diverge(document_part_id part, const std::string& why, instant now);
    void receive(const std::string& from, const peer_digest& digest, instant now);
    void receive(const std::string& from, const section_update& update, instant now);
    void send_digest(const std::string& to, instant now);
    void send_update(const std::string& to, neighbour& target, instant now);
    void order_watch();
    bool take_entry(const document_check_result& event);
    void call(call_kind kind, platform_call_fields fields, instant now);
    void read_platform(instant now);
    void try_lease(instant now);
    void ask_instances(instant now);
    [[nodiscard]] duration::rep fleet_factor() const;
    [[nodiscard]] bool alone(instant now) const;
    [[nodiscard]] duration jitter(duration below) const;
    [[nodiscard]] std::uint64_t revision() const { return in_force_->state->revision; }

    document_replicator_options options_;
    program program_;
    daemon_view_table views_;
    checked_document in_force_;
    std::vector<part_digest> digests_; ///< Of the document in force.
    std::array<section_row, section_count> sections_;
    std::map<std::string, neighbour> neighbours_;
    std::uint64_t desired_ = 0;  ///< Highest accepted revision that was heard of.
    std::uint64_t checking_ = 0; ///< Revision of a peer's document at the document thread; 0: none.
    instant checking_since_;
    std::map<std::uint64_t, call_kind> calls_; ///< Outstanding platform calls.
    kv_revision entry_ = 0;                    ///< Highest revision of the platform's entry that was seen.
    std::uint64_t entry_document_ = 0;         ///< Revision of the document in that entry.
    bool watching_ = false;
    instant lease_called_;
    instant lease_until_; ///< Start of the last successful lease call plus the lease's length.
    unsigned slot_ = 0;   ///< Which of the region's leases this daemon holds or tries for.
    instant next_digest_;
    instant next_read_;
    instant next_lease_;
    instant next_instances_;
    instant rechecked_; ///< When the overrides were last applied anew.
};

} // namespace citronfall
