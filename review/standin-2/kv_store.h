#pragma once

#include "http_server.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace review {

/// The platform's metadata store: items with revisions, conditional changes, leases and watches. A watch returns every
/// event since its revision, each as it was written. Not thread-safe.
class kv_store {
public:
    explicit kv_store(event_loop& loop);

    /// Handles a call of a daemon.
    void handle(const http_request& request, const http_server::answer_function& answer);

    /// Writes an item as the operator and the members do, and returns its revision.
    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t lease = 0);

    void remove(const std::string& key);

    /// Bytes of the longest answer to a watch so far.
    [[nodiscard]] std::size_t longest_watch_answer() const { return longest_watch_answer_; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        std::string json; ///< The item as it is sent.
    };
    struct event {
        std::uint64_t revision = 0;
        std::string key;
        std::string json; ///< The event as it is sent.
        steady_time at{};
    };
    struct lease_state {
        steady_time until{};
        std::uint64_t ttl_ms = 0;
    };
    struct waiting_watch {
        std::string prefix;
        std::uint64_t after = 0;
        steady_time until{};
        http_server::answer_function answer;
    };

    void advance();
    void answer_watches();
    bool answer_watch(const waiting_watch& watch);
    http_response answer_now(const http_request& request);
    http_response range(const http_request& request) const;
    http_response change(const nlohmann::json& body);
    http_response grant(const nlohmann::json& body);
    http_response renew(std::uint64_t lease);
    http_response end(std::uint64_t lease);
    void note(const std::string& key);
    static std::string encoded(const std::string& key, const item& each);

    event_loop& loop_;
    std::map<std::string, item> items_;
    std::deque<event> history_;
    std::map<std::uint64_t, lease_state> leases_;
    std::list<waiting_watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_to_ = 0; ///< Revision of the last event that was dropped from the history.
    std::uint64_t last_lease_ = 7000;
    std::size_t longest_watch_answer_ = 0;
};

} // namespace review
