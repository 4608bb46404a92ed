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

/// Hooks and settings of a connection share table.
struct connection_share_table_options {
    std::string daemon;                                     ///< Name of this daemon.
    std::uint64_t incarnation = 0;                          ///< As announced to peers in the hello message.
    std::function<const operator_config&()> config;         ///< The current configuration.
    std::function<std::uint32_t(const member_key&)> needed; ///< Connections to a member that could be used now.
    std::function<std::uint32_t(const member_key&)> open;   ///< Connections to a member that are open or being opened.
    /// Closes up to `count` idle connections to the member and returns how many.
    std::function<std::uint32_t(const member_key&, std::uint32_t count)> close_idle;
    std::function<void(const std::string& group)> close_all; ///< Closes every connection to the group's members.
    std::function<void(const platform_call&)> platform;
    std::function<void(const outgoing_peer_message&)> peer;
    std::function<std::string(const connection_share_ledger&)> encode;
    /// Returns nothing if the text is not a ledger.
    std::function<std::optional<connection_share_ledger>(const std::string&)> decode;
    std::function<std::uint64_t()> next_number;                 ///< Returns increasing numbers.
    std::function<void(std::string_view)> count;                ///< Increments a counter.
    duration request_interval = std::chrono::milliseconds(100); ///< Between two requests for connections to one member.
    /// Between two sends of a grant that is not acknowledged.
    duration resend_interval = std::chrono::milliseconds(200);
    duration close_time = std::chrono::milliseconds(20); ///< Time for the member to notice a closed connection.
    duration lease_ttl = std::chrono::seconds(60);       ///< At 7,700 daemons: 385 renewals a second.
    /// Between two reads of a ledger. At 7,700 daemons: 513 reads a second.
    duration ledger_interval = std::chrono::seconds(15);
    duration silence_limit = std::chrono::seconds(45); ///< A share that is not confirmed for longer is dropped.
    duration drop_time = std::chrono::seconds(60);     ///< Time until the connections of a dead holder no longer exist.
};

/// The shares of one daemon: how many connections it may hold to each member of each group. The shares of all daemons
/// together never exceed the group's limit.
///
/// A share is the number of connections that the ledger allocates to this holder, plus the grants received, minus the
/// grants given. A granting daemon closes connections and lowers its share before it sends a grant, repeats the grant
/// until it is acknowledged, and has at most one unacknowledged grant to each peer. The receiver counts each grant
/// number once. Grants are written to the ledger only when one of the two holders dies: each survivor then settles its
/// transfers with the dead holder. When all survivors have settled and the connections of the dead holder can no longer
/// exist, the rest of its share is allocated again.
///
/// A holder is confirmed by a ledger in which it is not marked dead, and by messages from peers in that ledger. A peer
/// does not settle with a holder while they are connected, so a message confirms the holder if the connection is older
/// than the newest such ledger. Not thread-safe: owned by the decision thread.
class connection_share_table {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<connection_share_table> make(connection_share_table_options options);

    /// Number of connections that this daemon may hold to the member, whatever their purpose.
    [[nodiscard]] std::uint32_t held(const member_key& member) const;

    /// Whether this daemon holds shares in the group: it is in the ledger, not marked dead and recently confirmed.
    [[nodiscard]] bool joined(const std::string& group) const;

    /// Handles the end of a platform call. Returns whether this table had made the call.
    bool apply(const platform_event& event, instant now);

    /// Handles a change of a peer connection or a peer's message.
    void apply(const peer_event& event, instant now);

    /// From now on hands unused connections over to peers and accepts no grants.
    void start_handover() { leaving_ = true; }

    /// Whether parts of a share are still to be handed over to a peer.
    [[nodiscard]] bool handing_over() const;

    /// Runs what is due: ledger reads, lease renewals, requests to peers and grants.
    void tick(instant now);

    /// When tick() must be called next.
    [[nodiscard]] std::optional<instant> next() const { return next_tick_; }

    /// Number of grants that have not been acknowledged.
    [[nodiscard]] std::size_t unacknowledged() const { return outgoing_grants_.size(); }

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
        std::optional<connection_share_ledger> planned; ///< Ledger to be written.
        std::uint64_t call = 0;                         ///< Number of the platform call in progress; 0 if none.
        instant called_at;                              ///< When the latest platform call was made.
        std::optional<error_kind> failure;              ///< Error of the last platform call that failed.
        instant due;                                    ///< When the ledger is read next.
        bool joined = false;                            ///< In the ledger, not marked dead, and recently confirmed.
        std::optional<instant> confirmed;               ///< When the share was last confirmed.
        instant ledger_confirmed; ///< When the read of the newest ledger that confirms this holder was sent.
        /// When all survivors were first seen to have settled with all dead holders.
        std::optional<instant> settled_since;
        std::vector<std::string> settled_holders; ///< The dead holders at that time.
    };

    /// A grant that has not been acknowledged.
    struct outgoing_grant {
        share_grant grant;
        std::string to;
        instant send_at;
    };

    /// The latest grant received from a holder, and the answer to it.
    struct incoming_grant {
        std::uint64_t number = 0;
        bool accepted = false;
    };

    struct peer_state {
        std::string holder; ///< Name and incarnation; empty while not connected.
        instant changed;
        bool refused_grant = false; ///< The peer has refused a grant.
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
    [[nodiscard]] std::optional<connection_share_ledger> plan_changes(group_state& group, instant now);
    void plan_join(const group_state& group, connection_share_ledger_fields& fields) const;
    void plan_settlement(const group_state& group, connection_share_ledger_fields& fields);
    void plan_reclaim(group_state& group, connection_share_ledger_fields& fields, instant now) const;
    void renew_leases(instant now);
    void check_confirmation(group_state& group, instant now);
    void request_connections(const group_state& group, instant now);
    void hand_over(const group_state& group, instant now);
    void grant(const std::string& to, const member_key& member, std::int64_t amount, instant now);
    [[nodiscard]] std::string handover_peer(const group_state& group) const;
    void send_grants(instant now);
    void handle_grant(const std::string& from, const share_grant& grant);
    void read_ledger_if_unknown(const std::string& holder, const std::string& name, instant now);
    void handle_request(const std::string& to, const share_request& request, instant now);
    void handle_ack(const std::string& from, const share_ack& ack);
    [[nodiscard]] bool connected(const std::string& holder) const;
    [[nodiscard]] std::uint32_t connections_limit(const std::string& group) const;
    [[nodiscard]] std::int64_t equal_part(const group_state& group) const;
    [[nodiscard]] const group_state* find(const std::string& group) const;

    connection_share_table_options options_;
    program program_;
    std::string holder_;
    std::map<std::string, group_state> groups_;
    std::map<transfer_key, std::int64_t> received_;
    std::map<transfer_key, std::int64_t> granted_;
    std::set<std::string> settling_; ///< Dead holders with which this daemon settles; their messages are ignored.
    std::map<std::string, peer_state> peers_;
    std::map<std::string, outgoing_grant> outgoing_grants_; ///< By holder.
    std::map<std::string, incoming_grant> incoming_grants_; ///< By holder.
    std::map<member_key, instant> last_requests_;
    std::map<std::string, instant> disconnected_since_; ///< Holders of a ledger that are not connected.
    std::set<std::string> expired_holders_; ///< Holders whose lease this daemon was able to take, so it has expired.
    std::map<std::uint64_t, std::string> lease_calls_;
    std::optional<instant> next_renewal_;
    std::optional<instant> next_tick_;
    instant last_single_grant_;
    bool leaving_ = false;
};

} // namespace citronfall
