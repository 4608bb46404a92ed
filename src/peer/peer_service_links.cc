#include "peer/peer_codec.h"
#include "peer/peer_service_impl.h"

#include <algorithm>
#include <vector>

namespace citronfall {
namespace {

using tcp = boost::asio::ip::tcp;

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

} // namespace

void peer_service::impl::accept(tcp::socket socket)
{
    close_oldest_unnamed();
    if (links_.size() >= options_.max_accepted + options_.max_neighbours) {
        ++counters_.refused;
        return;
    }
    ++counters_.accepted;
    const auto number = add_link(std::move(socket), "");
    links_.at(number).connection->start();
}

/// Keeps connections that have not said which daemon they come from below half of the accepted ones. A daemon says so
/// with its first packet, so that the oldest of them is the least likely to come from one.
void peer_service::impl::close_oldest_unnamed()
{
    const auto unnamed = [](const auto& each) {
        return each.second.daemon.empty() && each.second.address.empty();
    };
    const auto count = static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), unnamed));
    if (2 * count < options_.max_accepted) {
        return;
    }
    const auto oldest = std::find_if(links_.begin(), links_.end(), unnamed);
    ++counters_.refused;
    oldest->second.connection->close();
    input_.set(oldest->first, 0);
    links_.erase(oldest);
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
            .holds = [this, number](std::size_t bytes) { note_held(number, bytes); },
            .dropped = [this] { ++counters_.dropped; },
            .max_message_bytes = options_.max_input_bytes / 2,
            .first_frame_timeout = options_.first_frame_timeout,
            .send_timeout = options_.send_timeout,
            .receive_timeout = options_.receive_timeout,
            .keepalive_interval = std::min(first_keepalive_interval, keepalive_interval_for(options_.receive_timeout)),
            .failed = options_.failed});
    links_.emplace(number, link{.connection = connection, .address = address, .daemon = {}});
    static_cast<void>(connection->send(peer_codec::encode(options_.self)));
    return number;
}

/// While incomplete messages take too much together, the longest is dropped.
void peer_service::impl::note_held(std::uint64_t number, std::size_t bytes)
{
    input_.set(number, bytes);
    while (const auto worst = input_.worst_offender()) {
        input_.set(*worst, 0);
        if (const auto found = links_.find(*worst); found != links_.end()) {
            found->second.connection->drop_pieces();
        }
    }
    counters_.held_bytes = input_.total();
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
    greeted_link.connection->accept_all_frames();
    greeted_link.connection->send_in_pieces(hello->accepts_pieces);
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
    std::erase_if(links_, [this, now](const auto& each) {
        const bool due = each.second.retire_at && *each.second.retire_at <= now;
        if (due) {
            each.second.connection->close();
            input_.set(each.first, 0);
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
    input_.set(number, 0);
    counters_.held_bytes = input_.total();
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

} // namespace citronfall
