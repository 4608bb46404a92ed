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

/// Delay after which replaced connections are closed and missing neighbours are connected, so that one pass serves many
/// changes.
constexpr duration maintenance_delay = std::chrono::milliseconds(10);

/// Interval of these passes while nothing changes.
constexpr duration maintenance_interval = std::chrono::seconds(1);

/// Fraction of the peer's receive timeout after which a keepalive is sent, so that a connection survives one that is
/// late.
constexpr double keepalive_fraction = 0.4;

/// Keepalive interval until the peer's hello arrives.
constexpr duration first_keepalive_interval = std::chrono::seconds(2);

duration keepalive_interval_for(duration receive_timeout)
{
    return std::chrono::duration_cast<duration>(receive_timeout * keepalive_fraction);
}

/// Time for which a replaced connection stays open so that messages in flight on it arrive.
constexpr duration retirement_delay = std::chrono::seconds(1);

std::optional<tcp::endpoint> endpoint_of(const std::string& address)
{
    const auto read = endpoint_address::make(address);
    if (!ok(read)) {
        return std::nullopt;
    }
    return tcp::endpoint(asio::ip::make_address(value_of(read)->host), value_of(read)->port);
}

/// Whether a caller waits for the effect of the message. The other messages are sent again or replaced by later ones.
bool is_relayed_work(const peer_message& message)
{
    return std::holds_alternative<relayed_statement>(message) || std::holds_alternative<relayed_outcome>(message) ||
           std::holds_alternative<relayed_end>(message);
}

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
};

} // namespace

class peer_service::impl {
public:
    explicit impl(peer_service_options options)
        : options_(std::move(options)), acceptor_(context_), maintenance_timer_(context_),
          commands_({.capacity = options_.ring_capacity, .on_push = [this] {
                         if (!processing_posted_.exchange(true)) {
                             asio::post(context_, [this] { process_commands(); });
                         }
                     }})
    {
        options_.self = peer_hello{with(
            options_.self, [this](peer_hello_fields& fields) { fields.receive_timeout = options_.receive_timeout; })};
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

    void accept();
    void maintain();
    void schedule_maintenance(instant at);
    [[nodiscard]] instant next_maintenance(instant now) const;
    void open_neighbours();
    void open_link(const std::string& address);
    std::uint64_t add_link(tcp::socket socket, const std::string& address);
    void handle_message(std::uint64_t number, const peer_message& message);
    void handle_hello(std::uint64_t number, const peer_hello& hello);
    void close_links_of_former_run(const peer_hello& hello);
    void close_retired_links();
    void retire_duplicate_links(const std::string& daemon, std::uint64_t newest);
    void handle_close(std::uint64_t number, peer_close_reason reason);
    void remove_link(std::uint64_t number, peer_close_reason reason);
    void process_commands();
    void handle(const outgoing_peer_message& command);
    void handle(const peer_candidates& candidates);
    bool send(const std::string& daemon, const std::string& body);
    void close_links(const std::string& daemon, peer_close_reason reason);
    [[nodiscard]] std::size_t neighbour_count() const;

    peer_service_options options_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    asio::steady_timer maintenance_timer_;
    instant maintenance_at_{}; ///< When the maintenance timer fires.
    std::atomic<bool> processing_posted_{false};
    bounded_ring<peer_service_command> commands_;
    peer_counters counters_;
    std::map<std::string, candidate> candidates_;          ///< By address.
    std::set<std::string> pinned_;                         ///< Addresses to stay connected to besides the neighbours.
    std::map<std::uint64_t, link> links_;                  ///< By number.
    std::map<std::string, std::set<std::uint64_t>> peers_; ///< Links by daemon.
    std::uint64_t last_link_ = 0;
};

result<done> peer_service::impl::open()
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

void peer_service::impl::accept()
{
    if (!acceptor_.is_open()) {
        return;
    }
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (!code && links_.size() < options_.max_accepted + options_.max_neighbours) {
            ++counters_.accepted;
            const auto number = add_link(std::move(socket), "");
            links_.at(number).connection->start();
        }
        accept();
    });
}

void peer_service::impl::maintain()
{
    close_retired_links();
    open_neighbours();
    maintenance_at_ = {};
    schedule_maintenance(next_maintenance(steady_now()));
}

/// Makes the next pass happen at `at` at the latest.
void peer_service::impl::schedule_maintenance(instant at)
{
    if (maintenance_at_ != instant{} && maintenance_at_ <= at) {
        return;
    }
    maintenance_at_ = at;
    maintenance_timer_.expires_after(std::max(at - steady_now(), duration{}));
    maintenance_timer_.async_wait([this](error_code code) {
        if (!code) {
            maintain();
        }
    });
}

/// When the next pass has something to do, as far as it is known.
instant peer_service::impl::next_maintenance(instant now) const
{
    instant due = now + maintenance_interval;
    for (const auto& [number, each] : links_) {
        due = std::min(due, each.retire_at.value_or(due));
    }
    for (const auto& [address, each] : candidates_) {
        const bool wanted = each.link == 0 && each.next_attempt > now && !peers_.contains(each.daemon);
        due = wanted ? std::min(due, each.next_attempt) : due;
    }
    return std::max(due, now + maintenance_delay);
}

std::size_t peer_service::impl::neighbour_count() const
{
    // A chosen neighbour that connected to this daemon first needs no second connection.
    return static_cast<std::size_t>(std::count_if(candidates_.begin(), candidates_.end(), [](const auto& each) {
        return each.second.link != 0 || each.second.inbound;
    }));
}

void peer_service::impl::open_neighbours()
{
    const instant now = steady_now();
    for (const std::string& address : pinned_) {
        const auto found = candidates_.find(address);
        if (found != candidates_.end() && found->second.link == 0 && found->second.next_attempt <= now &&
            !peers_.contains(found->second.daemon)) {
            open_link(address);
        }
    }
    const std::size_t neighbours = neighbour_count();
    if (neighbours >= options_.max_neighbours) {
        return;
    }
    std::vector<neighbour_candidate> unconnected;
    for (const auto& [address, each] : candidates_) {
        if (each.link == 0 && each.next_attempt <= now && !peers_.contains(each.daemon)) {
            unconnected.push_back(neighbour_candidate{
                {.address = address, .data_center = each.data_center, .failed = each.failures > 0}});
        }
    }
    for (const std::string& address : choose_neighbours(unconnected, {.address = options_.listen,
                                                                     .data_center = options_.self->data_center,
                                                                     .count = options_.max_neighbours - neighbours,
                                                                     .random = options_.random})) {
        open_link(address);
    }
}

void peer_service::impl::open_link(const std::string& address)
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

std::uint64_t peer_service::impl::add_link(tcp::socket socket, const std::string& address)
{
    const std::uint64_t number = ++last_link_;
    const auto connection = std::make_shared<peer_connection>(
        std::move(socket),
        peer_connection_options{
            .received =
                [this, number](const peer_message& message, std::size_t bytes) {
                    ++counters_.frames_received;
                    counters_.bytes_received += bytes;
                    handle_message(number, message);
                },
            .sent =
                [this](std::size_t bytes) {
                    ++counters_.frames_sent;
                    counters_.bytes_sent += bytes;
                },
            .closed = [this, number](peer_close_reason reason) { handle_close(number, reason); },
            .receive_timeout = options_.receive_timeout,
            .keepalive_interval = std::min(first_keepalive_interval, keepalive_interval_for(options_.receive_timeout)),
            .failed = options_.failed});
    links_.emplace(number, link{.connection = connection, .address = address, .daemon = {}});
    static_cast<void>(connection->send(peer_codec::encode(options_.self)));
    return number;
}

void peer_service::impl::handle_message(std::uint64_t number, const peer_message& message)
{
    const auto found = links_.find(number);
    if (found == links_.end()) {
        return;
    }
    const auto* hello = std::get_if<peer_hello>(&message);
    const bool expected = found->second.daemon.empty();
    if ((hello != nullptr) != expected) {
        const auto connection = found->second.connection;
        handle_close(number, peer_close_reason::bad_frame);
        connection->close();
        return;
    }
    if (hello != nullptr) {
        handle_hello(number, *hello);
        return;
    }
    if (!std::holds_alternative<keepalive>(message)) {
        options_.notify(
            peer_event{{.from = found->second.daemon, .kind = peer_event_kind::received, .message = message}});
    }
}

void peer_service::impl::handle_hello(std::uint64_t number, const peer_hello& hello)
{
    link& greeted_link = links_.at(number);
    if (hello->daemon.empty() || hello->daemon == options_.self->daemon) {
        const auto connection = greeted_link.connection;
        handle_close(number, peer_close_reason::bad_frame);
        connection->close();
        return;
    }
    close_links_of_former_run(hello);
    greeted_link.connection->set_keepalive_interval(keepalive_interval_for(hello->receive_timeout));
    greeted_link.daemon = hello->daemon;
    greeted_link.incarnation = hello->incarnation;
    if (const auto found = candidates_.find(greeted_link.address); found != candidates_.end()) {
        found->second.daemon = hello->daemon;
        found->second.data_center = hello->data_center;
        found->second.failures = 0;
        ++counters_.opened;
    }
    auto& links = peers_[hello->daemon];
    links.insert(number);
    if (links.size() == 1) {
        options_.notify(peer_event{{.from = hello->daemon, .kind = peer_event_kind::connected, .message = hello}});
    } else {
        retire_duplicate_links(hello->daemon, number);
    }
}

/// The hello of a new run may arrive before the end of a connection to the former one, whose statements and
/// transactions ended with it.
void peer_service::impl::close_links_of_former_run(const peer_hello& hello)
{
    std::vector<std::uint64_t> former;
    for (const auto& [number, each] : links_) {
        if (each.daemon == hello->daemon && each.incarnation != hello->incarnation) {
            former.push_back(number);
        }
    }
    for (const std::uint64_t number : former) {
        links_.at(number).connection->close();
        handle_close(number, peer_close_reason::restarted);
    }
}

/// Keeps one connection to a daemon and retires the others, which would otherwise stay idle and time out. Both sides
/// keep the same one: the one that the daemon with the lower name opened, or the newest if one side opened all of them.
void peer_service::impl::retire_duplicate_links(const std::string& daemon, std::uint64_t newest)
{
    const bool keep_outbound = options_.self->daemon < daemon;
    const auto numbers = peers_.at(daemon);
    std::uint64_t kept = newest;
    for (const std::uint64_t each : numbers) {
        const bool outbound = !links_.at(each).address.empty();
        const bool kept_outbound = !links_.at(kept).address.empty();
        if (outbound == keep_outbound && kept_outbound != keep_outbound) {
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
            target->second.inbound = true;
        }
        peers_.at(daemon).erase(each);
        found->second.retire_at = steady_now() + retirement_delay;
        schedule_maintenance(*found->second.retire_at);
    }
}

/// Closes replaced connections once the time for messages in flight has passed.
void peer_service::impl::close_retired_links()
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

void peer_service::impl::handle_close(std::uint64_t number, peer_close_reason reason)
{
    if (reason == peer_close_reason::bad_frame) {
        ++counters_.bad_frames;
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
    remove_link(number, reason);
    schedule_maintenance(steady_now() + maintenance_delay);
}

void peer_service::impl::remove_link(std::uint64_t number, peer_close_reason reason)
{
    const auto found = links_.find(number);
    const std::string daemon = found->second.daemon;
    const bool replaced = found->second.retire_at.has_value();
    links_.erase(found);
    if (daemon.empty() || replaced) {
        return;
    }
    ++counters_.lost;
    const auto peer = peers_.find(daemon);
    peer->second.erase(number);
    if (peer->second.empty()) {
        peers_.erase(peer);
        for (auto& [address, each] : candidates_) {
            each.inbound = each.inbound && each.daemon != daemon;
        }
        options_.notify(
            peer_event{{.from = daemon, .kind = peer_event_kind::disconnected, .message = {}, .reason = reason}});
    }
}

void peer_service::impl::process_commands()
{
    processing_posted_ = false;
    while (const auto command = commands_.try_pop()) {
        std::visit([this](const auto& each) { handle(each); }, *command);
    }
}

void peer_service::impl::handle(const outgoing_peer_message& command)
{
    const std::string body = peer_codec::encode(command->message);
    if (body.size() > peer_codec::max_frame_bytes) {
        ++counters_.dropped;
        return;
    }
    if (!command->to.empty()) {
        if (!send(command->to, body) && is_relayed_work(command->message)) {
            close_links(command->to, peer_close_reason::overloaded);
        }
        return;
    }
    for (const auto& [daemon, links] : peers_) {
        static_cast<void>(send(daemon, body));
    }
}

void peer_service::impl::handle(const peer_candidates& candidates)
{
    pinned_ = {candidates->pinned.begin(), candidates->pinned.end()};
    std::set<std::string> known(options_.seeds.begin(), options_.seeds.end());
    known.insert(candidates->addresses.begin(), candidates->addresses.end());
    // The list lags, so a neighbour that is missing from it is kept while it is connected.
    std::erase_if(candidates_, [&](const auto& each) { return !known.contains(each.first) && each.second.link == 0; });
    for (const std::string& address : known) {
        candidates_[address];
    }
    schedule_maintenance(steady_now() + maintenance_delay);
}

/// Returns whether the message was queued.
bool peer_service::impl::send(const std::string& daemon, const std::string& body)
{
    const auto peer = peers_.find(daemon);
    const bool queued = peer != peers_.end() && links_.at(*peer->second.begin()).connection->send(body);
    counters_.dropped += queued ? 0 : 1;
    return queued;
}

/// Closes the connections to a daemon, so that both sides learn that what is relayed over them is lost.
void peer_service::impl::close_links(const std::string& daemon, peer_close_reason reason)
{
    const auto peer = peers_.find(daemon);
    if (peer == peers_.end()) {
        return;
    }
    const std::set<std::uint64_t> numbers = peer->second;
    for (const std::uint64_t number : numbers) {
        links_.at(number).connection->close();
        handle_close(number, reason);
    }
}

std::map<std::string, std::uint64_t> peer_service::impl::counters() const
{
    return {
        {"peer_frames_sent_total", counters_.frames_sent},   {"peer_frames_received_total", counters_.frames_received},
        {"peer_bytes_sent_total", counters_.bytes_sent},     {"peer_bytes_received_total", counters_.bytes_received},
        {"peer_bad_frames_total", counters_.bad_frames},     {"peer_messages_dropped_total", counters_.dropped},
        {"peer_connections_opened_total", counters_.opened}, {"peer_connections_accepted_total", counters_.accepted},
        {"peer_connections_lost_total", counters_.lost}};
}

peer_service::peer_service(peer_service_options options) : impl_(std::make_unique<impl>(std::move(options))) {}

peer_service::~peer_service() = default;

result<done> peer_service::open()
{
    return impl_->open();
}

bounded_ring<peer_service_command>& peer_service::commands()
{
    return impl_->commands();
}

void peer_service::run()
{
    impl_->run();
}

void peer_service::stop()
{
    impl_->stop();
}

std::map<std::string, std::uint64_t> peer_service::counters() const
{
    return impl_->counters();
}

} // namespace citronfall
