#include "gateway/gateway.h"

#include "citronfall/bounded_ring.h"
#include "core/boot_clock.h"
#include "core/ring_producer.h"
#include "event_log/event_log.h"
#include "gateway/gateway_engine.h"
#include "gateway/message_size.h"
#include "gateway/monitoring_server.h"
#include "overload/descriptor_plan.h"
#include "overload/memory_plan.h"
#include "peer/peer_command_producer.h"
#include "peer/peer_service.h"
#include "registration_codec/registration_codec.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include <easylogging++.h>

namespace citronfall {
namespace {

constexpr std::size_t event_ring_capacity = 16'384;

/// Longest wait of the decision thread before it retries a push to a full ring.
constexpr duration full_ring_retry_interval = std::chrono::milliseconds(1);

/// Prefix of the keys in the store that belong to the daemons.
constexpr const char* own_prefix = "citronfall/";

std::function<std::uint64_t(std::uint64_t)> make_random_generator()
{
    return [engine = std::mt19937_64(std::random_device{}())](std::uint64_t below) mutable {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(engine);
    };
}

void write_log_line(const log_line& line)
{
    LOG(INFO) << "event=" << line->event << ' ' << line->fields;
}

} // namespace

class gateway::impl {
public:
    impl(gateway_settings settings, platform_adapter platform);

    result<done> build();
    void run();
    void push(const gateway_event& event) { static_cast<void>(events_.push(event)); }

private:
    result<done> build_engine();
    gateway_engine_options engine_options();
    void run_decisions();
    bool flush_rings();
    void push_store_call(const store_call& call);
    [[nodiscard]] failure_hook failure_reporter(const char* thread);
    [[nodiscard]] bool may_read_answers();
    void publish_metrics(const metrics_report& report);
    void reload();
    void log_connections_left();

    gateway_settings settings_;
    memory_plan memory_;
    descriptor_plan descriptors_;
    platform_adapter platform_;
    /// Distinguishes this process from earlier ones of the same name.
    std::uint64_t incarnation_ = std::random_device{}();
    bounded_ring<gateway_event> events_;
    event_log event_log_;
    caller_server caller_server_;
    member_client member_client_;
    peer_service peer_service_;
    monitoring_server monitoring_server_;
    store_client_hooks store_client_;
    ring_producer<caller_reply> reply_producer_;
    ring_producer<member_command> member_command_producer_;
    peer_command_producer peer_command_producer_;
    std::unique_ptr<gateway_engine> engine_;
    bool stopped_ = false; ///< Owned by the decision thread.
};

gateway::impl::impl(gateway_settings settings, platform_adapter platform)
    : settings_(std::move(settings)), memory_(plan_memory(settings_->memory_mb)),
      descriptors_(plan_descriptors(settings_->max_descriptors)), platform_(std::move(platform)),
      events_({.capacity = event_ring_capacity,
               .size_of = [](const gateway_event& event) { return size_of(event); },
               .max_bytes = memory_->events}),
      event_log_({.write = write_log_line}),
      caller_server_({.address = settings_->callers,
                      .make_decoder = platform_.make_caller_decoder,
                      .encode = platform_.encode_reply,
                      .notify = [this](const caller_event& event) { push(event); },
                      .max_sessions = descriptors_->callers,
                      .max_input_bytes = memory_->caller_input,
                      .max_output_bytes = memory_->caller_output,
                      .failed = failure_reporter("callers")}),
      member_client_({.make_decoder = platform_.make_member_decoder,
                      .encode_open = platform_.encode_open,
                      .encode_queries = platform_.encode_queries,
                      .notify = [this](const member_event& event) { push(event); },
                      .may_read = [this] { return may_read_answers(); },
                      .max_answer_bytes = memory_->member_answers,
                      .failed = failure_reporter("members")}),
      peer_service_({.self = peer_hello{{.daemon = settings_->name,
                                         .region = settings_->region,
                                         .data_center = settings_->data_center,
                                         .incarnation = incarnation_}},
                     .listen = settings_->peer_listen,
                     .seeds = settings_->peers,
                     .notify = [this](const peer_event& event) { push(event); },
                     .random = make_random_generator(),
                     .max_accepted = descriptors_->peers,
                     .max_input_bytes = memory_->peer_input,
                     .max_output_bytes = memory_->peer_output,
                     .size_of = [](const peer_service_command& command) { return size_of(command); },
                     .failed = failure_reporter("peers")}),
      monitoring_server_({.address = settings_->probe,
                          .ready_path = settings_->probe_path,
                          .metrics_path = "/metrics",
                          .report_path = "/status",
                          .configuration_path = "/configuration",
                          .metrics_address = settings_->metrics,
                          .max_connections = descriptors_->monitoring,
                          .failed = failure_reporter("monitoring")}),
      reply_producer_(caller_server_.replies()), member_command_producer_(member_client_.commands()),
      peer_command_producer_(peer_service_.commands())
{
}

result<done> gateway::impl::build()
{
    auto store = platform_.make_store_client(
        settings_, [this](const store_answer& answer) { push(answer); }, failure_reporter("store"));
    if (!ok(store)) {
        return error_of(store);
    }
    store_client_ = take(std::move(store));
    if (auto built = build_engine(); !ok(built)) {
        return built;
    }
    if (auto opened = caller_server_.open(); !ok(opened)) {
        return opened;
    }
    if (auto opened = peer_service_.open(); !ok(opened)) {
        return opened;
    }
    return monitoring_server_.start();
}

gateway_engine_options gateway::impl::engine_options()
{
    service_directory_options service_directory{.keys = platform_.keys,
                                                .read_service_configuration = platform_.read_service_configuration,
                                                .read_member = platform_.read_member,
                                                .read_daemon = registration_codec::read_daemon,
                                                .read_failover_lock = registration_codec::read_failover_lock};
    service_directory.keys.daemons = std::string(own_prefix) + "daemons/";
    service_directory.keys.failover_locks = std::string(own_prefix) + "duties/";
    return {.settings = settings_,
            .incarnation = incarnation_,
            .send_reply = [this](const caller_reply& reply) { reply_producer_.push(reply); },
            .send_member_command = [this](const member_command& command) { member_command_producer_.push(command); },
            .send_store_call = [this](const store_call& call) { push_store_call(call); },
            .send_peer_command = [this](const peer_service_command& command) { peer_command_producer_.push(command); },
            .write_log = [this](const log_line& line, instant now) { event_log_.add(line, now); },
            .set_ready = [this](bool ready) { monitoring_server_.set_ready(ready); },
            .publish_metrics = [this](const metrics_report& report) { publish_metrics(report); },
            .publish_report = [this](const gateway_report& report) { monitoring_server_.publish(report); },
            .publish_configuration =
                [this](const std::shared_ptr<const service_configuration>& configuration) {
                    monitoring_server_.publish(configuration);
                },
            .reload = [this] { reload(); },
            .stop = [this] { stopped_ = true; },
            .random = make_random_generator(),
            .service_directory = std::move(service_directory),
            .configuration_prefix = platform_.configuration_prefix,
            .own_prefix = own_prefix,
            .encode_daemon = [](const daemon_registration& entry) { return registration_codec::encode(entry); },
            .encode_failover_lock = [](const failover_lock& entry) { return registration_codec::encode(entry); },
            .read_status = platform_.read_status};
}

result<done> gateway::impl::build_engine()
{
    auto engine = gateway_engine::make(engine_options());
    if (!ok(engine)) {
        return error_of(engine);
    }
    engine_ = take(std::move(engine));
    return done{};
}

/// If the queue is full, the call is answered as refused, and the component that issued it retries.
void gateway::impl::push_store_call(const store_call& call)
{
    if (!store_client_.try_push(call)) {
        static_cast<void>(events_.try_push(store_answer{
            {.number = call->number, .outcome = call_outcome::refused, .detail = "too many calls in progress"}}));
    }
}

/// Reports an unexpected exception of a thread to the decision thread, which logs it.
failure_hook gateway::impl::failure_reporter(const char* thread)
{
    return [this, thread](const std::string& what) {
        push(thread_failure{{.thread = thread, .what = what}});
    };
}

/// Answers of members stay in their sockets while those that are on their way to callers and peers take too much
/// memory. Called on the member thread.
bool gateway::impl::may_read_answers()
{
    return caller_server_.replies().bytes() + peer_service_.commands().bytes() <= memory_->replies;
}

/// Adds the counters of the other threads to those of the decision thread.
void gateway::impl::publish_metrics(const metrics_report& report)
{
    monitoring_server_.publish(with(report, [this](metrics_report_fields& fields) {
        for (const auto& counters : {caller_server_.counters(), member_client_.counters(), peer_service_.counters()}) {
            fields.counters.insert(counters.begin(), counters.end());
        }
        fields.counters["held_bytes{part=\"events\"}"] = events_.bytes();
    }));
}

void gateway::impl::reload()
{
    const auto read = platform_.read_settings();
    if (!ok(read)) {
        event_log_.add(log_line{{.priority = log_priority::notable,
                                 .event = "reload_failed",
                                 .fields = "reason=\"" + error_of(read)->detail + "\""}},
                       boot_now());
        return;
    }
    const bool same = value_of(read) == settings_;
    event_log_.add(log_line{{.priority = log_priority::notable,
                             .event = "settings_reloaded",
                             .fields = same ? "changed=no" : "changed=yes in_force=at_next_start"}},
                   boot_now());
}

void gateway::impl::log_connections_left()
{
    const connections_left left = caller_server_.left();
    const instant now = boot_now();
    event_log_.add(log_line{{.priority = log_priority::notable,
                             .event = "connections_left",
                             .fields = "connections=" + std::to_string(left->connections) +
                                       " unsent_bytes=" + std::to_string(left->unsent_bytes) +
                                       " unread_bytes=" + std::to_string(left->unread_bytes) +
                                       " statements=" + std::to_string(engine_->report(now)->statements)}},
                   now);
}

bool gateway::impl::flush_rings()
{
    const bool replies = reply_producer_.flush();
    const bool commands = member_command_producer_.flush();
    const bool peer_commands = peer_command_producer_.flush();
    return replies && commands && peer_commands;
}

void gateway::impl::run_decisions()
{
    while (!stopped_) {
        const bool flushed = flush_rings();
        instant now = boot_now();
        const duration until_due = std::max(engine_->next(now) - now, duration{});
        const auto event = events_.pop_for(flushed ? until_due : std::min(until_due, full_ring_retry_interval));
        now = boot_now();
        if (event) {
            engine_->handle(*event, now);
        }
        if (now >= engine_->next(now)) {
            engine_->tick(now);
        }
    }
}

void gateway::impl::run()
{
    event_log_.add(
        log_line{{.priority = log_priority::notable,
                  .event = "started",
                  .fields = "daemon=" + settings_->name + " data_center=" + settings_->data_center +
                            " incarnation=" + std::to_string(incarnation_) + " callers=" + settings_->callers +
                            " peers=" + settings_->peer_listen + " metrics=" + settings_->metrics}},
        boot_now());
    std::thread log_thread([this] { event_log_.run(); });
    std::thread store_thread([this] { store_client_.run(); });
    std::thread member_thread([this] { member_client_.run(); });
    std::thread peer_thread([this] { peer_service_.run(); });
    std::thread caller_thread([this] { caller_server_.run(); });
    run_decisions();
    static_cast<void>(flush_rings());
    event_log_.add(
        log_line{{.priority = log_priority::notable, .event = "stopped", .fields = "daemon=" + settings_->name}},
        boot_now());
    events_.close();
    caller_server_.stop();
    member_client_.stop();
    peer_service_.stop();
    store_client_.stop();
    monitoring_server_.stop();
    caller_thread.join();
    log_connections_left();
    member_thread.join();
    peer_thread.join();
    store_thread.join();
    event_log_.stop();
    log_thread.join();
}

result<std::unique_ptr<gateway>> gateway::make(const gateway_settings& settings, platform_adapter platform)
{
    auto implementation = std::make_unique<impl>(settings, std::move(platform));
    if (const auto built = implementation->build(); !ok(built)) {
        return error_of(built);
    }
    return std::unique_ptr<gateway>(new gateway(std::move(implementation)));
}

gateway::gateway(std::unique_ptr<impl> implementation) : impl_(std::move(implementation)) {}

gateway::~gateway() = default;

void gateway::run()
{
    impl_->run();
}

void gateway::terminate()
{
    impl_->push(control_event::terminate);
}

void gateway::reload()
{
    impl_->push(control_event::reload);
}

} // namespace citronfall
