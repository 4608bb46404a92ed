#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/operator_config.h"
#include "citronfall/outgoing_peer_message.h"
#include "citronfall/peer_event.h"
#include "citronfall/platform_call.h"
#include "citronfall/platform_event.h"
#include "citronfall/result.h"
#include "connection_share/connection_share_ledger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronfall {

/// Hooks and settings of a share table.
struct connection_share_table_options {
    std::string daemon;            ///< Name of this daemon.
    std::uint64_t incarnation = 0; ///< As in its hello to peers.
    std::function<const operator_config&()> rules;
    std::function<std::uint32_t(const member_key&)> needed; ///< Connections that could be used now.
    std::function<std::uint32_t(const member_key&)> open;   ///< Connections that exist or are being opened.
    /// Closes up to `count` idle connections to the member and returns how many.
    std::function<std::uint32_t(const member_key&, std::uint32_t count)> close_idle;
    std::function<void(const std::string& group)> close_all; ///< Closes every connection to the group's members.
    std::function<void(const platform_call&)> platform;
    std::function<void(const outgoing_peer_message&)> peer;
    std::function<std::string(const connection_share_ledger&)> encode;
    std::function<std::optional<connection_share_ledger>(const std::string&)>
        decode;                                                 ///< Nothing if the text is not a ledger.
    std::function<std::uint64_t()> next_number;                 ///< Greater than every earlier one.
    std::function<void(std::string_view)> count;                ///< Counts an event.
    duration request_interval = std::chrono::milliseconds(100); ///< Between two requests for one member.
    duration resend_interval = std::chrono::milliseconds(200);  ///< Of a grant without acknowledgement.
    duration close_time = std::chrono::milliseconds(20);        ///< For a closed connection to be gone at the member.
    duration lease_ttl = std::chrono::seconds(60);              ///< 7,700 daemons renew 385 times a second together.
    duration ledger_interval = std::chrono::seconds(15); ///< Between two reads of a ledger: 513 a second together.
    duration silence_limit = std::chrono::seconds(45);   ///< Unconfirmed for longer, everything held is dropped.
    duration drop_time = std::chrono::seconds(60);       ///< Connections of a settled dead holder are gone after this.
};

/// The shares of one daemon: how many connections it may hold to each member of each group.
///
/// A share is what the ledger allocates to this holder, plus grants received, minus grants given. The giver closes
/// connections and lowers its share before it sends a grant, sends the grant until it is acknowledged, and has at most
/// one grant to each peer on the way; the receiver counts each number once. Transfers enter the ledger only when one of
/// the two holders dies: each survivor then settles its transfers with the dead holder. When all have settled and the
/// connections of the dead holder can no longer exist, its remainder is allocated again.
///
/// A holder counts as confirmed by a ledger in which it is not marked dead, and by messages of peers of that ledger:
/// a peer does not settle while it is connected, so its messages count if the connection is older than the newest such
/// ledger. Not thread-safe: owned by the decision thread.
class connection_share_table {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<connection_share_table> make(connection_share_table_options options);

    /// Connections that this daemon may hold to the member, those of every purpose together.
    [[nodiscard]] std::uint32_t held(const member_key& member) const;

    /// Whether the ledger of the group knows this daemon.
    [[nodiscard]] bool joined(const std::string& group) const;

    /// Applies the end of a platform call. Returns false if the call is not one of this table's.
    bool apply(const platform_event& event, instant now);

    /// Applies a change of a peer connection or a message.
    void apply(const peer_event& event, instant now);

    /// Gives everything that is not in use to peers from now on, and takes nothing any more.
    void leave() { leaving_ = true; }

    /// Whether a peer is there that the share is being handed back to.
    [[nodiscard]] bool handing_back() const;

    /// Does what is due.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const { return next_tick_; }

    /// Number of grants that are not acknowledged.
    [[nodiscard]] std::size_t unacknowledged() const { return outgoing_.size(); }

private:
    enum class share_event { due, ledger_read, ledger_written, call_failed };

    struct transfer_key {
        std::string peer; ///< Holder.
        member_key member;
        friend auto operator<=>(const transfer_key&, const transfer_key&) = default;
    };

    struct group_state {
        std::string name;
        state_id state{};
        connection_share_ledger ledger;
        kv_revision revision = 0;
        std::optional<connection_share_ledger> planned;
        std::uint64_t call = 0;
        instant called_at;
        std::optional<error_kind> failure; ///< Of the last call that failed.
        instant due;
        bool joined = false; ///< In the ledger, not marked dead, and confirmed recently.
        std::optional<instant> confirmed;
        instant ledger_confirmed;                 ///< When the newest ledger that confirms this holder was asked for.
        std::optional<instant> all_settled;       ///< Since when every survivor has settled with every dead holder.
        std::vector<std::string> settled_holders; ///< The dead holders of that instant.
    };

    struct outgoing_grant {
        share_grant grant;
        std::string to;
        instant send_at;
    };

    struct incoming_state {
        std::uint64_t number = 0;
        bool accepted = false;
    };

    struct peer_state {
        std::string holder; ///< With incarnation; empty while not connected.
        instant changed;
        bool refuses = false; ///< It did not accept a grant.
    };

    struct step_context {
        connection_share_table& table;
        group_state& subject;
        instant now;
    };

    using program = chart_program<share_event, step_context>;

    connection_share_table(connection_share_table_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void fire(group_state& group, share_event event, instant now);
    void read_ledger(group_state& group, instant now);
    void write_ledger(group_state& group, instant now);
    void adopt(group_state& group, const connection_share_ledger& ledger, kv_revision revision, instant now);
    [[nodiscard]] std::optional<connection_share_ledger> plan(group_state& group, instant now);
    void plan_join(const group_state& group, connection_share_ledger_fields& fields) const;
    void plan_settlement(const group_state& group, connection_share_ledger_fields& fields);
    void plan_reclaim(group_state& group, connection_share_ledger_fields& fields, instant now) const;
    void renew_leases(instant now);
    void check_confirmation(group_state& group, instant now);
    void ask(const group_state& group, instant now);
    void hand_back(const group_state& group, instant now);
    void grant(const std::string& to, const member_key& member, std::int64_t amount, instant now);
    [[nodiscard]] std::string heir(const group_state& group) const;
    void send_grants(instant now);
    void accept(const std::string& from, const share_grant& grant);
    void expect_in_ledger(const std::string& holder, const std::string& name, instant now);
    void give(const std::string& to, const share_request& request, instant now);
    void acknowledged(const std::string& from, const share_ack& ack);
    [[nodiscard]] bool connected(const std::string& holder) const;
    [[nodiscard]] std::uint32_t connections_limit(const std::string& group) const;
    [[nodiscard]] std::int64_t fair_part(const group_state& group) const;
    [[nodiscard]] const group_state* find(const std::string& group) const;

    connection_share_table_options options_;
    program program_;
    std::string holder_;
    std::map<std::string, group_state> groups_;
    std::map<transfer_key, std::int64_t> received_;
    std::map<transfer_key, std::int64_t> sent_;
    std::set<std::string> frozen_; ///< Dead holders that are being settled with; no message of theirs counts.
    std::map<std::string, peer_state> peers_;
    std::map<std::string, outgoing_grant> outgoing_; ///< By holder.
    std::map<std::string, incoming_state> incoming_; ///< By holder.
    std::map<member_key, instant> asked_;
    std::map<std::string, instant> missing_since_; ///< Holders of a ledger that are not connected.
    std::set<std::string> lapsed_;                 ///< Holders whose lease this daemon could take.
    std::map<std::uint64_t, std::string> lease_calls_;
    std::optional<instant> next_renewal_;
    std::optional<instant> next_tick_;
    instant last_equalized_;
    bool leaving_ = false;
};

} // namespace citronfall
