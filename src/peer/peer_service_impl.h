#pragma once

#include "overload/byte_ledger.h"
#include "peer/peer_connection.h"
#include "peer/peer_service.h"
#include "socket/tcp_listener.h"

#include <atomic>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronfall {

/// Counters that the peer thread updates and other threads read.
struct peer_counters {
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> frames_received{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> bad_frames{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> opened{0};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> lost{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::size_t> held_bytes{0};
};

/// Implementation of peer_service: commands in peer_service.cc, connections in peer_service_links.cc, the choice of
/// neighbours and reconnecting in peer_service_neighbours.cc.
class peer_service::impl {
public:
    explicit impl(peer_service_options options)
        : options_(std::move(options)), listener_(context_), maintenance_timer_(context_),
          commands_({.capacity = options_.ring_capacity,
                     .on_push =
                         [this] {
                             if (!processing_posted_.exchange(true)) {
                                 boost::asio::post(context_, [this] { process_commands(); });
                             }
                         },
                     .size_of = options_.size_of}),
          input_(options_.max_input_bytes)
    {
        options_.self = peer_hello{with(options_.self, [this](peer_hello_fields& fields) {
            fields.receive_timeout = options_.receive_timeout;
            fields.accepts_pieces = true;
        })};
        for (const std::string& seed : options_.seeds) {
            candidates_[seed];
        }
    }

    result<done> open() { return options_.listen.empty() ? done{} : listener_.open(options_.listen); }
    bounded_ring<peer_service_command>& commands() { return commands_; }

    void run()
    {
        listener_.accept([this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); });
        maintain();
        const auto work = boost::asio::make_work_guard(context_);
        run_event_loop(context_, options_.failed);
        for (const auto& [number, each] : links_) {
            each.connection->close();
        }
    }

    void stop()
    {
        commands_.close();
        context_.stop();
    }

    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

private:
    /// Delay after which replaced connections are closed and missing neighbours are connected, so that one pass serves
    /// many changes.
    static constexpr duration maintenance_delay = std::chrono::milliseconds(10);

    /// A daemon that this one may connect to.
    struct candidate {
        std::string daemon;      ///< From its hello.
        std::string data_center; ///< From its hello.
        unsigned failures = 0;   ///< Consecutive failed attempts.
        instant next_attempt;
        std::uint64_t link = 0; ///< Number of the outbound connection to it; 0: none.
        bool inbound = false;   ///< Chosen as a neighbour, but reached over the connection that it opened.
    };

    /// A connection that is open or being opened.
    struct link {
        std::shared_ptr<peer_connection> connection;
        std::string address;              ///< Empty if the peer opened it.
        std::string daemon;               ///< Empty until the hello arrives.
        std::uint64_t incarnation = 0;    ///< From the hello.
        std::optional<instant> retire_at; ///< Close time, set once another connection to the daemon replaces this one.
    };

    void accept(boost::asio::ip::tcp::socket socket);
    void close_oldest_unnamed();
    void maintain();
    void schedule_maintenance(instant at);
    [[nodiscard]] instant next_maintenance(instant now) const;
    void open_neighbours();
    void open_link(const std::string& address);
    std::uint64_t add_link(boost::asio::ip::tcp::socket socket, const std::string& address);
    void handle_message(std::uint64_t number, const peer_message& message);
    void handle_hello(std::uint64_t number, const peer_hello& hello);
    void close_links_of_former_run(const peer_hello& hello);
    void close_retired_links();
    void retire_duplicate_links(const std::string& daemon, std::uint64_t newest);
    void handle_close(std::uint64_t number, peer_close_reason reason);
    void note_held(std::uint64_t number, std::size_t bytes);
    void remove_link(std::uint64_t number, peer_close_reason reason);
    void process_commands();
    void handle(const outgoing_peer_message& command);
    void handle(const peer_candidates& candidates);
    bool send(const std::string& daemon, const std::string& body);
    bool replace(const outgoing_peer_message& command, const std::string& body);
    [[nodiscard]] bool has_room(const std::string& body) const;
    void close_links(const std::string& daemon, peer_close_reason reason);
    [[nodiscard]] std::size_t neighbour_count() const;

    peer_service_options options_;
    boost::asio::io_context context_;
    tcp_listener listener_;
    boost::asio::steady_timer maintenance_timer_;
    instant maintenance_at_{}; ///< When the maintenance timer fires.
    std::atomic<bool> processing_posted_{false};
    bounded_ring<peer_service_command> commands_;
    peer_counters counters_;
    std::map<std::string, candidate> candidates_;          ///< By address.
    std::set<std::string> pinned_;                         ///< Addresses to stay connected to besides the neighbours.
    std::map<std::uint64_t, link> links_;                  ///< By number.
    std::map<std::string, std::set<std::uint64_t>> peers_; ///< Links by daemon.
    std::uint64_t last_link_ = 0;
    byte_ledger input_; ///< Incomplete messages, by link.
};

} // namespace citronfall
