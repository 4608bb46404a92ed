#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "standin/http_server.h"
#include "standin/member_model.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Options of a stand-in group.
struct group_server_options {
    std::string admin_address;                  ///< "ip:port" of the administration port.
    std::map<std::string, std::string> members; ///< "ip:port" by member name; the first by name starts as primary.
    std::size_t slots = 3;                      ///< Statements that a member runs concurrently.
    std::size_t connections = 20;               ///< Connections that a member accepts.
    duration connect_time = std::chrono::milliseconds(10); ///< Time to set up a connection.
    duration service_time = std::chrono::milliseconds(1);  ///< Time for which a statement without `cost` holds a slot.
    duration replication_lag = std::chrono::milliseconds(5); ///< Age at which a log entry reaches the replicas.
};

/// Stand-in for a database group on an event loop: members that serve the database protocol, with slots, connection
/// limits and asynchronous replication.
///
/// Administration requests: POST /lag/MS, /cut/MEMBER, /silence/MEMBER, /restore/MEMBER; GET /members. Runs on the
/// loop's thread.
class group_server {
public:
    /// Opens all ports. Error (bad_request): an address is malformed or in use.
    [[nodiscard]] static result<std::unique_ptr<group_server>> make(http_server& loop, group_server_options options);

private:
    struct waiting_call {
        model_session session;
        member_call call;
        reply_hook reply;
    };

    struct member_state {
        member_model model;
        std::string address;
        bool cut = false;
        std::size_t running = 0;
        std::deque<waiting_call> queue{};
    };

    group_server(http_server& loop, group_server_options options) : loop_(loop), options_(std::move(options)) {}

    [[nodiscard]] result<done> open();
    void handle_request(member_state& member, session_number session, const http_request& request,
                        const reply_hook& reply);
    void run_next(member_state& member);
    void handle_admin_request(const http_request& request, const reply_hook& reply);
    void replicate();
    [[nodiscard]] member_state* find_member(const std::string& address);

    http_server& loop_;
    group_server_options options_;
    std::map<std::string, member_state> members_;
};

} // namespace citronfall::standin
