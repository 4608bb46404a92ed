#include "soak/soak_run.h"

#include "core/boot_clock.h"
#include "platform/standin/blocking_client.h"
#include "platform/standin/loopback_platform.h"
#include "soak/daemon_supervisor.h"
#include "soak/fault_plan.h"
#include "soak/fault_proxy.h"
#include "soak/run_conditions.h"
#include "soak/soak_caller.h"
#include "soak/soak_checker.h"
#include "standin/free_port.h"
#include "standin/http_server.h"
#include "standin/sample_deployment.h"
#include "standin/settings_text.h"

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace citronfall::soak {
namespace {

using namespace std::chrono_literals;
using platform::standin::loopback_platform;
using platform::standin::store_fault;
using std::chrono::milliseconds;

constexpr duration supervision_interval = 20ms;

/// Time within which all daemons must serve again after the last fault has ended.
constexpr duration recovery_timeout = 9s;

/// Time within which the daemons must have started.
constexpr duration start_timeout = 10s;
constexpr duration start_timeout_per_daemon = 300ms;

/// Statements that a member announces to run concurrently during planned work.
constexpr std::uint32_t planned_work_slots = 12;

/// How callers use their sessions during planned work, in turn.
constexpr std::array<caller_habits, 4> planned_work_habits = {{
    {.longest_session = 400, .longest_pause = 0ms, .longest_transaction_pause = 0ms, .answer_timeout = 8s},
    {.longest_session = 3, .longest_pause = 20ms, .longest_transaction_pause = 50ms, .answer_timeout = 8s},
    {.longest_session = 100,
     .longest_pause = 300ms,
     .longest_transaction_pause = 900ms,
     .longest_notice_delay = 500ms,
     .answer_timeout = 8s},
    {.longest_session = 100,
     .longest_pause = 50ms,
     .longest_transaction_pause = 200ms,
     .longest_reading_delay = 1500ms,
     .longest_notice_delay = 500ms,
     .answer_timeout = 8s},
}};

/// Prefix of the request ids of recovery probes.
constexpr const char* probe_prefix = "probe-";

/// Run time of a statement during planned work: some milliseconds, for one in twenty of the callers' up to two seconds.
duration mixed_run_time(const std::string& request_id)
{
    constexpr std::size_t long_odds = 20;
    const std::size_t hash = std::hash<std::string>{}(request_id);
    const bool runs_long = hash % long_odds == 0 && !request_id.starts_with(probe_prefix);
    return runs_long ? milliseconds(300 + hash / long_odds % 1700) : milliseconds(2 + hash / long_odds % 8);
}

template <class T>
T value_or_throw(result<T> outcome)
{
    if (!ok(outcome)) {
        throw std::runtime_error(error_of(outcome)->detail);
    }
    return take(std::move(outcome));
}

/// The components of a run. Once the loop runs, everything but the callers belongs to its thread.
class soak_environment {
public:
    explicit soak_environment(const soak_options& options) : options_(options)
    {
        build_platform();
        for (std::size_t i = 0; i < options_.daemons; ++i) {
            add_daemon(i);
        }
    }

    soak_report run();

private:
    struct daemon_setup {
        std::string callers = standin::free_address();
        std::string probe = standin::free_address();
        std::string peers = standin::free_address();
        std::string store = standin::free_address(); ///< Address of the proxy in front of the store.
        std::unique_ptr<fault_proxy> store_link{};
        std::unique_ptr<daemon_supervisor> process{};
    };

    void build_platform();
    void add_daemon(std::size_t index);
    void start_daemons();
    void supervise();
    void schedule(const planned_fault& fault);
    void begin(const planned_fault& fault);
    void begin_daemon_fault(const planned_fault& fault);
    void begin_member_fault(const planned_fault& fault);
    void end(const planned_fault& fault);
    void change_configuration();
    void record_conditions(const planned_fault& fault);
    [[nodiscard]] duration statement_timeout() const;
    [[nodiscard]] caller_habits habits_of(std::size_t caller) const;
    void run_callers(soak_report& report);
    bool serves(std::size_t daemon, const std::string& database);
    void await_recovery(soak_report& report);
    void end_daemons();
    void collect(soak_report& report);

    [[nodiscard]] daemon_setup& daemon_of(const planned_fault& fault)
    {
        return *daemons_[fault.target % daemons_.size()];
    }
    [[nodiscard]] const std::string& member_of(const planned_fault& fault) const
    {
        return member_ids_[fault.target % member_ids_.size()];
    }

    soak_options options_;
    standin::http_server loop_;
    std::string store_ = standin::free_address();
    std::string promotion_address_ = standin::free_address();
    std::vector<std::string> member_ids_;
    std::vector<std::unique_ptr<fault_proxy>> member_links_;
    std::unique_ptr<loopback_platform> platform_;
    std::vector<std::unique_ptr<daemon_setup>> daemons_;
    std::uint64_t version_ = 1;
    bool extra_route_ = false; ///< The configuration contains the database "extra".
    bool ending_ = false;
    std::vector<recorded_operation> history_;
    std::uint64_t last_probe_ = 0;
    run_conditions conditions_;
};

duration soak_environment::statement_timeout() const
{
    return options_.plan == plan_kind::planned_work ? 4000ms : 800ms;
}

caller_habits soak_environment::habits_of(std::size_t caller) const
{
    return options_.plan == plan_kind::planned_work ? planned_work_habits.at(caller % planned_work_habits.size())
                                                    : caller_habits{};
}

void soak_environment::build_platform()
{
    std::vector<platform::standin::loopback_member> members;
    for (std::size_t i = 0; i < options_.members; ++i) {
        const platform::standin::loopback_member member{.id = "m" + std::to_string(i),
                                                        .address = standin::free_address(),
                                                        .advertised_address = standin::free_address()};
        member_ids_.push_back(member.id);
        member_links_.push_back(value_or_throw(
            fault_proxy::make(loop_.loop(), {.listen = member.advertised_address, .target = member.address})));
        members.push_back(member);
    }
    platform::standin::loopback_platform_options platform_options{
        .store = store_,
        .promotion_address = promotion_address_,
        .members = members,
        .max_connections = options_.max_connections,
        .sync_replicas = options_.sync_replicas,
        .configuration = standin::sample_deployment(version_, options_.max_connections, {}, statement_timeout(),
                                                    options_.sync_replicas)};
    if (options_.plan == plan_kind::planned_work) {
        platform_options.service_time = mixed_run_time;
        platform_options.slots = planned_work_slots;
    }
    platform_ = value_or_throw(loopback_platform::make(loop_, std::move(platform_options)));
}

void soak_environment::add_daemon(std::size_t index)
{
    auto setup = std::make_unique<daemon_setup>();
    setup->store_link = value_or_throw(fault_proxy::make(loop_.loop(), {.listen = setup->store, .target = store_}));
    std::vector<std::string> seeds;
    for (const auto& each : daemons_) {
        seeds.push_back(each->peers);
    }
    const std::string name = "d" + std::to_string(index);
    std::ofstream(options_.folder + "/" + name + ".json")
        << standin::settings_text(gateway_settings{{.name = name,
                                                    .region = "r",
                                                    .data_center = "d",
                                                    .callers = setup->callers,
                                                    .probe = setup->probe,
                                                    .probe_path = "/ready",
                                                    .peer_listen = setup->peers,
                                                    .peers = seeds,
                                                    .store = setup->store,
                                                    .promotion_address = promotion_address_}});
    daemons_.push_back(std::move(setup));
}

void soak_environment::start_daemons()
{
    const gateway_settings defaults{{}};
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const std::string file = options_.folder + "/d" + std::to_string(i);
        daemons_[i]->process = std::make_unique<daemon_supervisor>(
            daemon_supervisor_options{.command = {options_.program, "--platform", file + ".json"},
                                      .output_file = file + ".log",
                                      .grace = defaults->grace,
                                      .signal_age = options_.signal_age,
                                      .signalled =
                                          [this, i](planned_work_kind kind, instant now) {
                                              conditions_.planned.push_back({.kind = kind, .daemon = i, .at = now});
                                          }},
            boot_now());
    }
    supervise();
}

void soak_environment::supervise()
{
    if (ending_) {
        return;
    }
    for (const auto& each : daemons_) {
        each->process->tick(boot_now());
    }
    loop_.after(supervision_interval, [this] { supervise(); });
}

void soak_environment::schedule(const planned_fault& fault)
{
    loop_.after(fault.at, [this, fault] {
        begin(fault);
        loop_.after(fault.length, [this, fault] { end(fault); });
    });
}

void soak_environment::begin(const planned_fault& fault)
{
    constexpr std::size_t store_ways = 4;
    constexpr std::size_t link_ways = 4;
    constexpr std::size_t late_order_ways = 3; // All, a half or a third of the orders are late.
    const auto link = static_cast<link_fault>(1 + fault.variant % link_ways);
    record_conditions(fault);
    switch (fault.kind) {
    case fault_kind::kill_daemon:
    case fault_kind::stop_daemon:
    case fault_kind::pause_daemon:
    case fault_kind::hang_up_daemon:
        begin_daemon_fault(fault);
        break;
    case fault_kind::store:
        platform_->set_store_fault(static_cast<store_fault>(1 + fault.variant % store_ways));
        break;
    case fault_kind::store_history:
        platform_->forget_history();
        break;
    case fault_kind::store_link:
        daemon_of(fault).store_link->set_fault(link);
        break;
    case fault_kind::member_link:
        member_links_[fault.target % member_links_.size()]->set_fault(link);
        break;
    case fault_kind::crash_member:
    case fault_kind::drain_member:
    case fault_kind::replica_lag:
        begin_member_fault(fault);
        break;
    case fault_kind::configure:
        change_configuration();
        break;
    case fault_kind::late_orders:
        platform_->delay_orders(1.0 / static_cast<double>(1 + fault.variant % late_order_ways));
        break;
    }
}

void soak_environment::record_conditions(const planned_fault& fault)
{
    const instant now = boot_now();
    if (!is_planned_work(fault.kind)) {
        conditions_.unplanned.push_back({.from = now, .until = now + fault.length});
        return;
    }
    if (fault.kind == fault_kind::configure) {
        conditions_.planned.push_back({.kind = planned_work_kind::configure, .at = now});
    }
}

void soak_environment::begin_daemon_fault(const planned_fault& fault)
{
    daemon_supervisor& process = *daemon_of(fault).process;
    const instant now = boot_now();
    if (fault.kind == fault_kind::kill_daemon) {
        process.kill(now);
    } else if (fault.kind == fault_kind::stop_daemon) {
        process.stop(now);
    } else if (fault.kind == fault_kind::pause_daemon) {
        process.pause(fault.length, now);
    } else {
        process.reload_settings(now);
    }
}

void soak_environment::begin_member_fault(const planned_fault& fault)
{
    const std::string& member = member_of(fault);
    if (fault.kind == fault_kind::crash_member) {
        if (platform_->service().up(member)) {
            platform_->crash(member);
        }
    } else if (fault.kind == fault_kind::drain_member) {
        platform_->announce_drain(member, true);
    } else {
        constexpr duration lag = 800ms;
        platform_->set_replica_lag(lag);
    }
}

void soak_environment::end(const planned_fault& fault)
{
    switch (fault.kind) {
    case fault_kind::store:
        platform_->set_store_fault(store_fault::none);
        break;
    case fault_kind::store_link:
        daemon_of(fault).store_link->set_fault(link_fault::none);
        break;
    case fault_kind::member_link:
        member_links_[fault.target % member_links_.size()]->set_fault(link_fault::none);
        break;
    case fault_kind::crash_member:
        if (!platform_->service().up(member_of(fault))) {
            platform_->restart(member_of(fault));
        }
        break;
    case fault_kind::drain_member:
        platform_->announce_drain(member_of(fault), false);
        break;
    case fault_kind::replica_lag:
        platform_->set_replica_lag(10ms);
        break;
    case fault_kind::late_orders:
        platform_->delay_orders(0);
        break;
    case fault_kind::kill_daemon:
    case fault_kind::stop_daemon:
    case fault_kind::pause_daemon:
    case fault_kind::hang_up_daemon:
    case fault_kind::store_history:
    case fault_kind::configure:
        break;
    }
}

void soak_environment::change_configuration()
{
    extra_route_ = !extra_route_;
    const std::vector<std::string> more = extra_route_ ? std::vector<std::string>{"extra"} : std::vector<std::string>{};
    platform_->configure(standin::sample_deployment(++version_, options_.max_connections, more, statement_timeout(),
                                                    options_.sync_replicas));
}

bool soak_environment::serves(std::size_t daemon, const std::string& database)
{
    platform::standin::blocking_client caller(daemons_.at(daemon)->callers);
    const auto started = caller.start(database, 1s);
    if (!started.complete || started.error_code) {
        return false;
    }
    const std::string id = probe_prefix + std::to_string(++last_probe_);
    recorded_operation operation{.daemon = daemon};
    operation.statements.push_back(
        {.request_id = id, .kind = recorded_verb::write, .item = "probe", .value = id, .sent_at = boot_now()});
    const auto answer = caller.execute(id, "WRITE probe " + id, 1s);
    recorded_statement& statement = operation.statements.back();
    record_answer(statement, answer);
    const bool served = statement.succeeded();
    history_.push_back(std::move(operation));
    return served;
}

/// Checks that every daemon serves all databases of the configuration and refuses others.
void soak_environment::await_recovery(soak_report& report)
{
    const instant limit = boot_now() + recovery_timeout;
    std::vector<std::string> databases{"fresh", "aged", "own"};
    if (extra_route_) {
        databases.emplace_back("extra");
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        for (const std::string& database : databases) {
            while (!serves(i, database)) {
                if (boot_now() > limit) {
                    report.violations.push_back("recovery: d" + std::to_string(i) + " does not serve " + database);
                    break;
                }
                std::this_thread::sleep_for(20ms);
            }
        }
        if (!extra_route_ && serves(i, "extra")) {
            report.violations.push_back("configuration: d" + std::to_string(i) + " serves a removed route");
        }
    }
}

void soak_environment::run_callers(soak_report& report)
{
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<std::thread> threads;
    std::vector<std::string> addresses;
    for (const auto& each : daemons_) {
        addresses.push_back(each->callers);
    }
    for (std::size_t i = 0; i < options_.callers; ++i) {
        threads.emplace_back([&, i] {
            soak_caller caller({.seed = options_.seed * 1000 + i,
                                .name = "c" + std::to_string(i),
                                .daemons = addresses,
                                .databases = {{"fresh", read_consistency::primary},
                                              {"aged", read_consistency::bounded_staleness},
                                              {"own", read_consistency::read_your_writes}},
                                .habits = habits_of(i)});
            auto seen = caller.run(stop);
            const std::lock_guard lock(mutex);
            std::move(seen.begin(), seen.end(), std::back_inserter(history_));
        });
    }
    std::this_thread::sleep_for(options_.length);
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    await_recovery(report);
}

soak_report soak_environment::run()
{
    soak_report report;
    start_daemons();
    std::thread loop([this] { loop_.run(); });
    const instant limit =
        boot_now() + start_timeout + start_timeout_per_daemon * static_cast<std::int64_t>(daemons_.size());
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        while (!serves(i, "own") && boot_now() < limit) {
            std::this_thread::sleep_for(20ms);
        }
    }
    for (const planned_fault& fault : make_fault_plan({.seed = options_.seed,
                                      .length = options_.length,
                                      .daemons = options_.daemons,
                                      .members = options_.members,
                                      .kind = options_.plan})) {
        report.faults.push_back(describe(fault));
        schedule(fault);
    }
    run_callers(report);
    loop_.stop();
    loop.join();
    end_daemons();
    collect(report);
    return report;
}

void soak_environment::end_daemons()
{
    ending_ = true;
    for (bool all = false; !all;) {
        all = true;
        for (const auto& each : daemons_) {
            all = each->process->finish(boot_now()) && all;
        }
        std::this_thread::sleep_for(supervision_interval);
    }
}

void soak_environment::collect(soak_report& report)
{
    const auto& service = platform_->service();
    conditions_.member_work = platform_->work();
    conditions_.statement_timeout = statement_timeout();
    const auto violations = soak_checker::check(history_, service, standin::sample_staleness, conditions_);
    report.violations.insert(report.violations.end(), violations.begin(), violations.end());
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        for (const std::string& each : daemons_[i]->process->violations()) {
            report.violations.push_back(each + " (d" + std::to_string(i) + ")");
        }
    }
    for (const recorded_operation& each : history_) {
        const recorded_statement& last = each.statements.back();
        if (last.kind != recorded_verb::start) {
            ++report.operations;
            report.succeeded += last.succeeded() ? 1 : 0;
        }
    }
    report.unanswered = cut_check::check(history_, conditions_);
    report.commits = service.log().size();
    report.promotions = service.promotions().size();
}

} // namespace

soak_report run_soak(const soak_options& options)
{
    std::filesystem::create_directories(options.folder);
    return soak_environment(options).run();
}

} // namespace citronfall::soak
