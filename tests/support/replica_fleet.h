#pragma once

#include "citronfall/peer_message.h"
#include "load/virtual_time.h"
#include "mirror/store_replica.h"
#include "standin/store_model.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// A configuration document of `routes` routes, about 200 bytes each, with names that differ by route. The same
/// arguments give the same text; documents of different sizes share their first routes.
[[nodiscard]] std::string large_document(std::uint64_t version, std::size_t routes);

/// Copies of the store on many daemons whose links have a limited rate, in virtual time.
///
/// What daemons send each other and what the store answers occupies the links for as long as its encoded size takes, in
/// the order sent. Not thread-safe.
class replica_fleet {
public:
    struct options {
        std::size_t daemons = 83;
        std::size_t data_centers = 4;
        double link_mbps = 10;
        double narrow_link_mbps = 10; ///< Of every other daemon.
        std::size_t neighbours = 4;   ///< Random connections of a daemon besides those to the watchers that it follows.
        std::uint64_t seed = 1;
    };

    /// What went over the link of one daemon, in bytes.
    struct link_use {
        std::size_t sent = 0;
        std::size_t received = 0;
        std::size_t whole_values = 0; ///< Received messages of peers with at least a quarter of the document's size.
    };

    explicit replica_fleet(const options& chosen);
    ~replica_fleet();
    replica_fleet(const replica_fleet&) = delete;
    replica_fleet& operator=(const replica_fleet&) = delete;
    replica_fleet(replica_fleet&&) = delete;
    replica_fleet& operator=(replica_fleet&&) = delete;

    [[nodiscard]] instant now() const { return time_.now(); }
    void run(duration length) { time_.run_until(now() + length); }

    /// Writes the document to the store.
    void write(const std::string& document);

    /// Runs until all running daemons have the last document that was written, or `limit` has passed. Returns the time
    /// that passed.
    duration run_until_current(duration limit);

    void refuse_store(std::size_t daemon, bool refused); ///< The store refuses its calls.
    void set_link(std::size_t daemon, double mbps);      ///< Rate of its link from now on.
    void kill(std::size_t daemon);                       ///< Its process ends; its peers notice at once.
    void restart(std::size_t daemon); ///< A new process without a copy; it knows its peers after half a second.
    void freeze(std::size_t daemon, bool frozen);        ///< It neither acts nor receives; nobody notices.
    void isolate(std::size_t daemon, bool isolated);     ///< It loses its connections to all peers.
    void connect_isolated(std::size_t a, std::size_t b); ///< Connects two daemons, also if they are isolated.
    void damage_next_value(std::size_t daemon);          ///< The next delta that it receives is damaged.
    void serve_stale(const std::string& document);       ///< Stale reads give this document.
    [[nodiscard]] standin::store_copy save_store() { return store_.copy(now()); }
    void restore_store(const standin::store_copy& copy) { store_.restore(copy, now()); }
    void forget_history() { store_.forget_history(); }

    [[nodiscard]] const std::string& document(std::size_t daemon) const; ///< Its copy; empty if it has none.

    /// All documents that a daemon's copy held since it started, in order.
    [[nodiscard]] const std::vector<std::string>& documents(std::size_t daemon) const;

    [[nodiscard]] bool watches(std::size_t daemon) const;
    [[nodiscard]] std::size_t size() const { return daemons_.size(); }
    [[nodiscard]] const link_use& use(std::size_t daemon) const;
    void reset_use();
    [[nodiscard]] std::size_t logged(std::size_t daemon, const std::string& event) const; ///< Number of lines.

private:
    struct simulated_daemon;

    void start(std::size_t index);
    void connect(std::size_t a, std::size_t b);
    void connect_all(std::size_t index);
    [[nodiscard]] watcher_candidate candidate(std::size_t index) const;
    void disconnect_all(std::size_t index);
    void tick(std::size_t index, std::uint64_t run);
    void call(std::size_t index, call_number number, const call_body& body);
    void answer(std::size_t index, std::uint64_t run, const store_answer& answer);
    void send(std::size_t from, const std::string& to, const peer_message& message);
    void deliver(std::size_t to, const std::string& from, const peer_message& message);
    [[nodiscard]] instant occupy(std::size_t from, std::size_t to, std::size_t bytes);
    [[nodiscard]] std::size_t index_of(const std::string& name) const;

    load::virtual_time time_;
    options options_;
    standin::store_model store_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<simulated_daemon>> daemons_;
    std::string written_; ///< Last document.
    std::string stale_;   ///< Given to stale reads if not empty.
};

} // namespace citronfall
