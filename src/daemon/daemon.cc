#include "daemon/daemon.h"

#include "citronfall/bounded_ring.h"
#include "daemon/decision_engine.h"
#include "document_codec/document_codec.h"
#include "frontend/http_front_end.h"
#include "frontend/responder.h"
#include "kv_service/connection_share_ledger_codec.h"
#include "kv_service/failover_record_codec.h"
#include "kv_service/http_platform.h"
#include "peer/peer_service.h"
#include "upstream/upstream_service.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include <easylogging++.h>

namespace citronfall {
namespace {

constexpr std::size_t event_ring_capacity = 16'384;
constexpr std::size_t answer_ring_capacity = 16'384;
constexpr std::size_t platform_ring_capacity = 256;

/// Maximum time that a thread waits for its next message if no timer is armed.
constexpr duration idle_wait = std::chrono::seconds(1);

/// Maximum wait of the decision thread while the upstream ring is full. The ring drains within microseconds.
constexpr duration full_ring_wait = std::chrono::milliseconds(1);

constexpr std::size_t document_ring_capacity = 16;
constexpr std::size_t watch_ring_capacity = 16;

/// Time for sending the last answers before the callers' connections are closed.
constexpr duration last_answers_bound = std::chrono::seconds(2);

/// Timeout of one watch call. It limits how long the daemon's shutdown waits for the watch thread. Two daemons of a
/// region watch at a time, so it also limits the rate of calls.
constexpr duration watch_length = std::chrono::seconds(2);

/// Pause after a failed watch call, because a call may fail immediately.
constexpr duration watch_pause = std::chrono::milliseconds(500);

/// Random number generator for one thread, seeded by the system.
std::function<std::uint64_t(std::uint64_t)> make_random()
{
    return [engine = std::mt19937_64(std::random_device{}())](std::uint64_t below) mutable {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(engine);
    };
}

/// Wall clock in milliseconds since 1970.
std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Event for the end of a platform call.
platform_event end_event(const platform_call& call, const result<kv_entry>& outcome)
{
    if (!ok(outcome)) {
        return platform_event{{.number = call->number, .failure = error_of(outcome)->kind}};
    }
    return platform_event{{.number = call->number, .entry = value_of(outcome)}};
}

platform_event execute_call(const platform_hooks& hooks, const platform_call& call)
{
    switch (call->operation) {
    case platform_operation::read:
        return end_event(call, hooks.kv_read(call->key, call->deadline));
    case platform_operation::compare_and_swap:
        return end_event(call, hooks.kv_compare_and_swap(call->key, call->expected, call->value, call->deadline));
    case platform_operation::instances: {
        const auto list = hooks.instance_list(call->deadline);
        return ok(list) ? platform_event{{.number = call->number, .instances = value_of(list)}}
                        : platform_event{{.number = call->number, .failure = error_of(list)->kind}};
    }
    case platform_operation::lease:
        break;
    }
    const auto held = hooks.kv_lease(call->key, call->holder, call->ttl, call->deadline);
    if (!ok(held)) {
        return platform_event{{.number = call->number, .failure = error_of(held)->kind}};
    }
    return platform_event{{.number = call->number, .lease_held = value_of(held)}};
}

/// A number from the system's random source, which cannot be predicted from earlier ones.
std::uint64_t secure_random_number()
{
    std::random_device source;
    return std::uint64_t{source()} << 32U | source();
}

} // namespace

class daemon::impl {
public:
    explicit impl(daemon_settings settings)
        : settings_(std::move(settings)), events_({.capacity = event_ring_capacity}),
          answers_({.capacity = answer_ring_capacity}), platform_calls_({.capacity = platform_ring_capacity}),
          document_checks_({.capacity = document_ring_capacity}), watch_commands_({.capacity = watch_ring_capacity}),
          upstream_({.notify =
                         [this](const upstream_event& event) {
                             static_cast<void>(events_.push(event));
                         }}),
          peers_({.self = peer_hello{{.daemon = settings_->name,
                                      .region = settings_->region,
                                      .data_center = settings_->data_center,
                                      .incarnation = incarnation_}},
                  .listen = settings_->peer_listen,
                  .seeds = settings_->peers,
                  .notify = [this](const peer_event& event) { static_cast<void>(events_.push(event)); },
                  .random = make_random()}),
          front_end_({.settings = settings_,
                      .submit = [this](decision_event event) { return events_.try_push(std::move(event)); },
                      .respond =
                          [this](responder_message message) {
                              static_cast<void>(answers_.push(std::move(message)));
                          }})
    {
    }

    std::optional<error> build();
    void run();
    void drain() { static_cast<void>(events_.push(drain_request{})); }

private:
    void run_decisions();
    void send_waiting_commands();
    void refuse_late_requests();
    void run_responder();
    void run_platform();
    void run_watch();
    void run_documents();
    void check_document(const document_check_request& input);

    daemon_settings settings_;
    std::uint64_t incarnation_ = std::random_device{}(); ///< Distinguishes this run of the daemon from others.
    bounded_ring<decision_event> events_;
    bounded_ring<responder_message> answers_;
    bounded_ring<platform_call> platform_calls_;
    bounded_ring<document_check_request> document_checks_;
    bounded_ring<document_watch_command> watch_commands_;
    upstream_service upstream_;
    peer_service peers_;
    std::unique_ptr<decision_engine> decisions_;
    std::optional<platform_hooks> platform_;
    std::optional<responder> responder_;
    std::optional<platform_hooks> watch_platform_; ///< Uses a connection of its own, because watch calls block it.
    http_front_end front_end_;
    std::deque<upstream_command> waiting_commands_;  ///< Owned by the decision thread; did not fit into the ring yet.
    bool stopped_ = false;                           ///< Owned by the decision thread.
    std::mt19937_64 random_{std::random_device{}()}; ///< Owned by the decision thread.
};

std::optional<error> daemon::impl::build()
{
    auto platform = make_http_platform({.address = settings_->platform});
    if (!ok(platform)) {
        return error_of(platform);
    }
    platform_ = take(std::move(platform));
    auto watch_platform = make_http_platform({.address = settings_->platform});
    if (!ok(watch_platform)) {
        return error_of(watch_platform);
    }
    watch_platform_ = take(std::move(watch_platform));
    auto engine = decision_engine::make(
        {.daemon = settings_->name,
         .data_center = settings_->data_center,
         .answer = [this](const decision_answer& answer) { static_cast<void>(answers_.push(answer)); },
         .send =
             [this](const upstream_command& command) {
                 waiting_commands_.push_back(command);
                 send_waiting_commands();
             },
         .platform =
             [this](const platform_call& call) {
                 if (!platform_calls_.try_push(call)) {
                     LOG(WARNING) << "platform call dropped, because the ring is full: " << call->key;
                 }
             },
         .peer =
             [this](const outgoing_peer_message& command) { static_cast<void>(peers_.commands().try_push(command)); },
         .log = [](const std::string& line) { LOG(INFO) << line; },
         .random = [this] { return random_(); },
         .secure_random = secure_random_number,
         .encode_record = failover_record_codec::encode,
         .decode_record = failover_record_codec::decode,
         .region = settings_->region,
         .check_document = [this](const document_check_request& input) { check_document(input); },
         .watch =
             [this](const document_watch_command& watch_command) {
                 static_cast<void>(watch_commands_.try_push(watch_command));
             },
         .candidates = [this](const peer_candidates& list) { static_cast<void>(peers_.commands().try_push(list)); },
         .wall_ms = wall_ms,
         .counters = [this] { return peers_.counters(); },
         .incarnation = incarnation_,
         .encode_ledger = connection_share_ledger_codec::encode,
         .decode_ledger = connection_share_ledger_codec::decode,
         .stop = [this] { stopped_ = true; },
         .drain_bound = settings_->drain_bound});
    if (!ok(engine)) {
        return error_of(engine);
    }
    decisions_ = take(std::move(engine));
    if (const auto opened = peers_.open(); !ok(opened)) {
        return error_of(opened);
    }
    auto sender = responder::make({.receive_timeout = settings_->header_timeout + settings_->body_timeout,
                                   .keep_alive_timeout = settings_->keep_alive_timeout});
    if (!ok(sender)) {
        return error_of(sender);
    }
    responder_.emplace(take(std::move(sender)));
    if (const auto started = front_end_.start(); !ok(started)) {
        return error_of(started);
    }
    LOG(INFO) << "listening on " << settings_->listen << " for callers and operators";
    if (!settings_->peer_listen.empty()) {
        LOG(INFO) << "listening on " << settings_->peer_listen << " for peer daemons";
    }
    return std::nullopt;
}

void daemon::impl::run()
{
    std::thread upstream([this] { upstream_.run(); });
    std::thread peers([this] { peers_.run(); });
    std::thread responses([this] { run_responder(); });
    std::thread platform([this] { run_platform(); });
    std::thread watch([this] { run_watch(); });
    std::thread documents([this] { run_documents(); });
    run_decisions();
    refuse_late_requests();
    platform_calls_.close();
    watch_commands_.close();
    document_checks_.close();
    static_cast<void>(answers_.push(finish_replies{.limit = steady_now() + last_answers_bound}));
    responses.join();
    answers_.close();
    front_end_.stop();
    upstream_.stop();
    peers_.stop();
    upstream.join();
    peers.join();
    platform.join();
    documents.join();
    watch.join();
}

/// Moves waiting commands into the ring of the upstream thread. The decision thread must not block on that ring,
/// because the upstream thread may itself be blocked on the event ring. Commands must not be dropped either, because a
/// connection would then be left in the wrong state.
void daemon::impl::send_waiting_commands()
{
    while (!waiting_commands_.empty() && upstream_.commands().try_push(waiting_commands_.front())) {
        waiting_commands_.pop_front();
    }
}

void daemon::impl::run_decisions()
{
    while (!stopped_) {
        send_waiting_commands();
        const instant now = steady_now();
        const duration longest = waiting_commands_.empty() ? idle_wait : full_ring_wait;
        const auto event = events_.pop_until(std::min(decisions_->next().value_or(now + longest), now + longest));
        if (event) {
            decisions_->handle(*event, steady_now());
        } else {
            decisions_->tick(steady_now());
        }
    }
}

void daemon::impl::refuse_late_requests()
{
    events_.close();
    while (const auto event = events_.try_pop()) {
        decisions_->handle(*event, steady_now());
    }
}

void daemon::impl::run_responder()
{
    while (!responder_->finished(steady_now())) {
        const instant now = steady_now();
        auto message = answers_.pop_until(std::min(responder_->next().value_or(now + idle_wait), now + idle_wait));
        if (message) {
            responder_->handle(std::move(*message), steady_now());
        }
        responder_->tick(steady_now());
    }
}

void daemon::impl::run_platform()
{
    while (const auto call = platform_calls_.pop()) {
        static_cast<void>(events_.push(execute_call(*platform_, *call)));
    }
}

void daemon::impl::run_watch()
{
    document_watch_command watch_command;
    kv_revision seen = 0;
    instant next = steady_now();
    while (!watch_commands_.closed()) {
        if (const auto changed =
                watch_commands_.pop_until(watch_command->active ? next : steady_now() + watch_length)) {
            watch_command = *changed;
            seen = std::max(seen, watch_command->after);
            continue;
        }
        if (!watch_command->active) {
            continue;
        }
        const auto entry = watch_platform_->kv_watch("document", seen, steady_now() + watch_length);
        if (!ok(entry)) {
            static_cast<void>(events_.push(document_check_result{{.failed = true}}));
            next = steady_now() + watch_pause;
            continue;
        }
        if (value_of(entry)->revision > seen) {
            seen = value_of(entry)->revision;
            check_document(document_check_request{{.source = document_source::platform,
                                                   .entry = value_of(entry)->revision,
                                                   .text = value_of(entry)->value}});
        }
        next = steady_now();
    }
}

void daemon::impl::check_document(const document_check_request& input)
{
    if (!document_checks_.try_push(input)) {
        LOG(WARNING) << "document check dropped, because the ring is full";
    }
}

void daemon::impl::run_documents()
{
    while (const auto input = document_checks_.pop()) {
        static_cast<void>(events_.push(document_codec::check(*input, wall_ms())));
    }
}

result<std::unique_ptr<daemon>> daemon::make(const daemon_settings& settings)
{
    auto all = std::make_unique<impl>(settings);
    if (const auto problem = all->build()) {
        return *problem;
    }
    return std::unique_ptr<daemon>(new daemon(std::move(all)));
}

daemon::daemon(std::unique_ptr<impl> all) : impl_(std::move(all)) {}

daemon::~daemon() = default;

void daemon::run()
{
    impl_->run();
}

void daemon::drain()
{
    impl_->drain();
}

} // namespace citronfall
