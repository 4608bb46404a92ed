#include "peer/peer_service.h"

#include "core/endpoint_address.h"
#include "peer/neighbour_choice.h"
#include "peer/peer_codec.h"
#include "peer/peer_connection.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronfall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Interval of closing replaced connections and connecting to missing neighbours.
constexpr duration upkeep_interval = std::chrono::milliseconds(50);

/// Time for which a replaced connection stays open so that messages in flight on it arrive.
constexpr duration retire_after = std::chrono::seconds(1);

std::optional<tcp::endpoint> endpoint_of(const std::string& address)
{
    const auto read = endpoint_address::make(address);
    if (!ok(read)) {
        return std::nullopt;
    }
    return tcp::endpoint(asio::ip::make_address(value_of(read)->host), value_of(read)->port);
}

/// Counters that the peer thread updates and other threads read.
struct peer_counts {
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> frames_received{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> bad_frames{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> opened{0};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> lost{0};
};

} // namespace

class peer_service::parts {
public:
    explicit parts(peer_service_options options)
        : options_(std::move(options)), acceptor_(context_), upkeep_(context_),
          commands_({.capacity = options_.ring_capacity, .on_push = [this] {
                         asio::post(context_, [this] { drain(); });
                     }})
    {
        for (const std::string& seed : options_.seeds) {
            candidates_[seed];
        }
    }

    result<done> open();
    bounded_ring<peer_service_command>& commands() { return commands_; }

    void run()
    {
        accept();
        maintain();
        const auto work = asio::make_work_guard(context_);
        context_.run();
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
    /// A daemon that this one may connect to.
    struct candidate {
        std::string daemon;      ///< From its hello.
        std::string data_center; ///< From its hello.
        unsigned failures = 0;   ///< Consecutive failed attempts.
        instant next_attempt;
        std::uint64_t link = 0; ///< Number of the outbound connection to it; 0: none.
        bool covered = false;   ///< Chosen as a neighbour, but reached over the connection that it opened.
    };

    /// A connection that is open or being opened.
    struct link {
        std::shared_ptr<peer_connection> connection;
        std::string address;              ///< Empty if the peer opened it.
        std::string daemon;               ///< Empty until the hello arrives.
        std::optional<instant> retire_at; ///< Close time, set once another connection to the daemon replaces this one.
    };

    void accept();
    void maintain();
    void open_neighbours();
    void start_link(const std::string& address);
    std::uint64_t add_link(tcp::socket socket, const std::string& address);
    void received(std::uint64_t number, const peer_message& message);
    void greeted(std::uint64_t number, const peer_hello& hello);
    void retire_links();
    void keep_one(const std::string& daemon, std::uint64_t newest);
    void ended(std::uint64_t number, peer_connection_end end);
    void drop(std::uint64_t number);
    void drain();
    void obey(const outgoing_peer_message& command);
    void obey(const peer_candidates& candidates);
    void send(const std::string& daemon, const std::string& body);
    [[nodiscard]] std::size_t opened() const;

    peer_service_options options_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    asio::steady_timer upkeep_;
    bounded_ring<peer_service_command> commands_;
    peer_counts counts_;
    std::map<std::string, candidate> candidates_;          ///< By address.
    std::set<std::string> wanted_;                         ///< Addresses to stay connected to besides the neighbours.
    std::map<std::uint64_t, link> links_;                  ///< By number.
    std::map<std::string, std::set<std::uint64_t>> peers_; ///< Links by daemon.
    std::uint64_t last_link_ = 0;
};

result<done> peer_service::parts::open()
{
    if (options_.listen.empty()) {
        return done{};
    }
    const auto endpoint = endpoint_of(options_.listen);
    const auto failure = [this](const std::string& why) {
        return error{{.kind = error_kind::bad_request, .detail = "peer.address " + options_.listen + ": " + why}};
    };
    if (!endpoint) {
        return failure("not ip:port");
    }
    error_code code;
    acceptor_.open(endpoint->protocol(), code);
    if (!code) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
        acceptor_.bind(*endpoint, code);
    }
    if (!code) {
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return failure(code.message());
    }
    return done{};
}

void peer_service::parts::accept()
{
    if (!acceptor_.is_open()) {
        return;
    }
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (!code && links_.size() < options_.max_accepted + options_.max_neighbours) {
            ++counts_.accepted;
            const auto number = add_link(std::move(socket), "");
            links_.at(number).connection->start();
        }
        accept();
    });
}

void peer_service::parts::maintain()
{
    retire_links();
    open_neighbours();
    upkeep_.expires_after(upkeep_interval);
    upkeep_.async_wait([this](error_code code) {
        if (!code) {
            maintain();
        }
    });
}

std::size_t peer_service::parts::opened() const
{
    // A chosen neighbour that connected to this daemon first needs no second connection.
    return static_cast<std::size_t>(std::count_if(candidates_.begin(), candidates_.end(), [](const auto& each) {
        return each.second.link != 0 || each.second.covered;
    }));
}

void peer_service::parts::open_neighbours()
{
    const instant now = steady_now();
    for (const std::string& address : wanted_) {
        const auto found = candidates_.find(address);
        if (found != candidates_.end() && found->second.link == 0 && found->second.next_attempt <= now &&
            !peers_.contains(found->second.daemon)) {
            start_link(address);
        }
    }
    const std::size_t open = opened();
    if (open >= options_.max_neighbours) {
        return;
    }
    std::vector<neighbour_candidate> free;
    for (const auto& [address, each] : candidates_) {
        if (each.link == 0 && each.next_attempt <= now && !peers_.contains(each.daemon)) {
            free.push_back(neighbour_candidate{
                {.address = address, .data_center = each.data_center, .failed = each.failures > 0}});
        }
    }
    for (const std::string& address : choose_neighbours(free, {.address = options_.listen,
                                                              .data_center = options_.self->data_center,
                                                              .count = options_.max_neighbours - open,
                                                              .random = options_.random})) {
        start_link(address);
    }
}

void peer_service::parts::start_link(const std::string& address)
{
    const auto endpoint = endpoint_of(address);
    if (!endpoint) {
        candidates_.erase(address);
        return;
    }
    const auto number = add_link(tcp::socket(context_), address);
    candidates_[address].link = number;
    links_.at(number).connection->connect(*endpoint, options_.connect_timeout);
}

std::uint64_t peer_service::parts::add_link(tcp::socket socket, const std::string& address)
{
    const std::uint64_t number = ++last_link_;
    const auto connection = std::make_shared<peer_connection>(
        std::move(socket),
        peer_connection_options{.received =
                                    [this, number](const peer_message& message, std::size_t bytes) {
                                        ++counts_.frames_received;
                                        counts_.bytes_received += bytes;
                                        received(number, message);
                                    },
                                .sent =
                                    [this](std::size_t bytes) {
                                        ++counts_.frames_sent;
                                        counts_.bytes_sent += bytes;
                                    },
                                .ended = [this, number](peer_connection_end end) { ended(number, end); },
                                .silence = options_.silence});
    links_.emplace(number, link{.connection = connection, .address = address, .daemon = {}});
    static_cast<void>(connection->send(peer_codec::encode(options_.self)));
    return number;
}

void peer_service::parts::received(std::uint64_t number, const peer_message& message)
{
    const auto found = links_.find(number);
    if (found == links_.end()) {
        return;
    }
    const auto* hello = std::get_if<peer_hello>(&message);
    const bool expected = found->second.daemon.empty();
    if ((hello != nullptr) != expected) {
        const auto connection = found->second.connection;
        ended(number, peer_connection_end::bad_frame);
        connection->close();
        return;
    }
    if (hello != nullptr) {
        greeted(number, *hello);
        return;
    }
    options_.notify(peer_event{{.from = found->second.daemon, .kind = peer_event_kind::received, .message = message}});
}

void peer_service::parts::greeted(std::uint64_t number, const peer_hello& hello)
{
    link& greeting = links_.at(number);
    if (hello->daemon.empty() || hello->daemon == options_.self->daemon) {
        const auto connection = greeting.connection;
        ended(number, peer_connection_end::bad_frame);
        connection->close();
        return;
    }
    greeting.daemon = hello->daemon;
    if (const auto found = candidates_.find(greeting.address); found != candidates_.end()) {
        found->second.daemon = hello->daemon;
        found->second.data_center = hello->data_center;
        found->second.failures = 0;
        ++counts_.opened;
    }
    auto& links = peers_[hello->daemon];
    links.insert(number);
    if (links.size() == 1) {
        options_.notify(peer_event{{.from = hello->daemon, .kind = peer_event_kind::connected, .message = hello}});
    } else {
        keep_one(hello->daemon, number);
    }
}

/// Keeps one connection to a daemon and retires the others, which would otherwise stay idle and time out. Both sides
/// keep the same one: the one that the daemon with the lower name opened, or the newest if one side opened all of them.
void peer_service::parts::keep_one(const std::string& daemon, std::uint64_t newest)
{
    const bool own_wins = options_.self->daemon < daemon;
    const auto numbers = peers_.at(daemon);
    std::uint64_t kept = newest;
    for (const std::uint64_t each : numbers) {
        const bool own = !links_.at(each).address.empty();
        const bool kept_own = !links_.at(kept).address.empty();
        if (own == own_wins && kept_own != own_wins) {
            kept = each;
        }
    }
    for (const std::uint64_t each : numbers) {
        if (each == kept) {
            continue;
        }
        const auto found = links_.find(each);
        if (const auto target = candidates_.find(found->second.address); target != candidates_.end()) {
            target->second.link = 0;
            target->second.covered = true;
        }
        peers_.at(daemon).erase(each);
        found->second.retire_at = steady_now() + retire_after;
    }
}

/// Closes replaced connections once the time for messages in flight has passed.
void peer_service::parts::retire_links()
{
    const instant now = steady_now();
    std::erase_if(links_, [now](const auto& each) {
        const bool due = each.second.retire_at && *each.second.retire_at <= now;
        if (due) {
            each.second.connection->close();
        }
        return due;
    });
}

void peer_service::parts::ended(std::uint64_t number, peer_connection_end end)
{
    if (end == peer_connection_end::bad_frame) {
        ++counts_.bad_frames;
    }
    const auto found = links_.find(number);
    if (found == links_.end()) {
        return;
    }
    const auto target = candidates_.find(found->second.address);
    if (target != candidates_.end() && target->second.link == number) {
        candidate& each = target->second;
        each.link = 0;
        const duration pause =
            std::min(options_.reconnect_max, options_.reconnect_min * (1U << std::min(each.failures, 10U)));
        ++each.failures;
        // Jitter over half the delay keeps the neighbours of a restarted daemon from reconnecting simultaneously.
        const auto jitter = static_cast<duration::rep>(
            options_.random(static_cast<std::uint64_t>(std::max<duration::rep>(pause.count() / 2, 1))));
        each.next_attempt = steady_now() + pause / 2 + duration(jitter);
    }
    drop(number);
}

void peer_service::parts::drop(std::uint64_t number)
{
    const auto found = links_.find(number);
    const std::string daemon = found->second.daemon;
    const bool replaced = found->second.retire_at.has_value();
    links_.erase(found);
    if (daemon.empty() || replaced) {
        return;
    }
    ++counts_.lost;
    const auto peer = peers_.find(daemon);
    peer->second.erase(number);
    if (peer->second.empty()) {
        peers_.erase(peer);
        for (auto& [address, each] : candidates_) {
            each.covered = each.covered && each.daemon != daemon;
        }
        options_.notify(peer_event{{.from = daemon, .kind = peer_event_kind::disconnected, .message = {}}});
    }
}

void peer_service::parts::drain()
{
    while (const auto order = commands_.try_pop()) {
        std::visit([this](const auto& each) { obey(each); }, *order);
    }
}

void peer_service::parts::obey(const outgoing_peer_message& command)
{
    const std::string body = peer_codec::encode(command->message);
    if (body.size() > peer_codec::max_frame) {
        ++counts_.dropped;
        return;
    }
    if (!command->to.empty()) {
        send(command->to, body);
        return;
    }
    for (const auto& [daemon, links] : peers_) {
        send(daemon, body);
    }
}

void peer_service::parts::obey(const peer_candidates& candidates)
{
    wanted_ = {candidates->wanted.begin(), candidates->wanted.end()};
    std::set<std::string> known(options_.seeds.begin(), options_.seeds.end());
    known.insert(candidates->addresses.begin(), candidates->addresses.end());
    // The list lags, so a neighbour that is missing from it is kept while it is connected.
    std::erase_if(candidates_, [&](const auto& each) { return !known.contains(each.first) && each.second.link == 0; });
    for (const std::string& address : known) {
        candidates_[address];
    }
}

void peer_service::parts::send(const std::string& daemon, const std::string& body)
{
    const auto peer = peers_.find(daemon);
    if (peer == peers_.end() || !links_.at(*peer->second.begin()).connection->send(body)) {
        ++counts_.dropped;
    }
}

std::map<std::string, std::uint64_t> peer_service::parts::counters() const
{
    return {{"peer_frames_sent_total", counts_.frames_sent},   {"peer_frames_received_total", counts_.frames_received},
            {"peer_bytes_sent_total", counts_.bytes_sent},     {"peer_bytes_received_total", counts_.bytes_received},
            {"peer_bad_frames_total", counts_.bad_frames},     {"peer_messages_dropped_total", counts_.dropped},
            {"peer_connections_opened_total", counts_.opened}, {"peer_connections_accepted_total", counts_.accepted},
            {"peer_connections_lost_total", counts_.lost}};
}

peer_service::peer_service(peer_service_options options) : parts_(std::make_unique<parts>(std::move(options))) {}

peer_service::~peer_service() = default;

result<done> peer_service::open()
{
    return parts_->open();
}

bounded_ring<peer_service_command>& peer_service::commands()
{
    return parts_->commands();
}

void peer_service::run()
{
    parts_->run();
}

void peer_service::stop()
{
    parts_->stop();
}

std::map<std::string, std::uint64_t> peer_service::counters() const
{
    return parts_->counters();
}

} // namespace citronfall
