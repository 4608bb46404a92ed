// Routing decisions per second on one core and heap allocations per decision, compared with a naive router that always
// chooses the primary. Then complete requests through the request engine, from the caller's request to the answer.
// Fixed seed. Usage: routing_bench [decisions].

#include "request/request_engine.h"
#include "router/router.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

// NOLINTBEGIN(cppcoreguidelines-no-malloc): counts every allocation of the process.
void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* block = std::malloc(size == 0 ? 1 : size)) {
        return block;
    }
    std::abort();
}

void operator delete(void* block) noexcept
{
    std::free(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    std::free(block);
}
// NOLINTEND(cppcoreguidelines-no-malloc)

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;
constexpr instant start{1000s};

/// Latencies and names of one user; see docs/design.md, section 1.
struct user {
    const char* name;
    std::vector<std::string> data_centers;
    duration between; ///< One way between data centres.
    duration lag;
};

group_view observed(group_view view, const user& who, instant sent)
{
    for (std::size_t i = 0; i < 3; ++i) {
        const duration reached = sent.time_since_epoch() - (i == 0 ? 0ms : who.lag);
        const auto index = static_cast<log_index>(reached / 1ms);
        view = view.observe(status_observation{
            {.status = member_status{{.member = "m" + std::to_string(i),
                                      .role = i == 0 ? member_role::primary : member_role::replica,
                                      .term = 1,
                                      .last_index = index,
                                      .applied_index = index,
                                      .history = term_history{{.starts = {term_start{{.term = 1, .start = 1}}}}}}},
             .sent_at = sent,
             .received_at = sent + 200us + (i == 0 ? 0us : 2 * who.between)}});
    }
    return view;
}

/// Naive router: sends every request to the primary that the view reports.
route_decision always_primary(const group_view& view)
{
    const auto primary = view.primary();
    return primary ? route_decision{{.member = member_key{{.group = view->group, .member = *primary}}}}
                   : route_decision{};
}

struct measurement {
    double per_second = 0;
    double allocations = 0;
    std::uint64_t replicas = 0;
};

template <class Decide>
measurement measure(std::uint64_t decisions, Decide decide)
{
    const std::uint64_t before = allocations.load();
    const auto begin = std::chrono::steady_clock::now();
    std::uint64_t replicas = 0;
    for (std::uint64_t i = 0; i < decisions; ++i) {
        const route_decision decision = decide(i);
        replicas += decision->member && (*decision->member)->member != "m0" ? 1 : 0;
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    return {.per_second = static_cast<double>(decisions) / taken.count(),
            .allocations = static_cast<double>(allocations.load() - before) / static_cast<double>(decisions),
            .replicas = replicas};
}

void report(const char* user_name, const char* variant, const measurement& result, std::uint64_t decisions)
{
    std::printf("%-6s %-22s %12.0f decisions/s  %6.3f allocations/decision  %5.1f%% replicas\n", user_name, variant,
                result.per_second, result.allocations,
                100.0 * static_cast<double>(result.replicas) / static_cast<double>(decisions));
}

/// Runs reads with bounded staleness from the request to the answer; the member answers immediately.
void run_requests(const char* user_name, router& routes, const group_view& view, std::uint64_t requests)
{
    std::uint64_t numbers = 0;
    std::uint64_t answers = 0;
    std::optional<request_handle> waiting;
    upstream_command sent;
    auto made = request_engine::make(
        {.routes = &routes,
         .view = [&view](const std::string&) -> const group_view& { return view; },
         .admit = [](const caller_request&, const member_key&, instant) { return std::optional<refusal>(); },
         .enqueue = [&](const caller_request& each, const member_key&, instant) { waiting = each->handle; },
         .withdraw = [](request_handle) {},
         .ready = [&](const member_key&, instant) { return waiting ? std::size_t{1} : std::size_t{0}; },
         .take = [&](const member_key&, instant) { return std::exchange(waiting, std::nullopt); },
         .exchange_ended = [](request_handle, instant) {},
         .request_ended = [](request_handle, instant) {},
         .acquire = [&](const member_key&) { return std::optional(++numbers); },
         .ensure_connections = [](const member_key&, std::size_t, instant) {},
         .release = [](connection_number) {},
         .discard = [](connection_number) {},
         .poll_group_status = [](const std::string&, instant) {},
         .observe_position = [](const member_key&, const member_answer&) {},
         .next_number = [&] { return ++numbers; },
         .send = [&](const upstream_command& each) { sent = each; },
         .answer = [&](const caller_answer&) { ++answers; },
         .random = [] { return std::uint64_t{0}; },
         .retry_percent =
             [] {
                 return 10U;
             }});
    request_engine engine = take(std::move(made));
    const class_config config{{.max_staleness = 500ms}};
    const member_answer done{
        {.verdict = member_verdict::done, .term = 1, .position = log_position{{.term = 1, .index = 999'700}}}};
    const measurement result = measure(requests, [&](std::uint64_t i) {
        const instant now = start + duration(static_cast<std::int64_t>(i % 1000));
        engine.start(
            caller_request{{.handle = i + 1, .group = "ledger-1", .statement = "list roster", .deadline = now + 1s}},
            config, now);
        engine.apply(upstream_event{{.kind = upstream_event_kind::answered,
                                     .connection = sent->connection,
                                     .exchange = sent->exchange,
                                     .answer = done,
                                     .bytes_sent = true,
                                     .sent_at = now,
                                     .received_at = now + 1ms}},
                     now);
        engine.tick(now);
        return route_decision{};
    });
    std::printf("%-6s %-22s %12.0f requests/s   %6.1f allocations/request   %llu answered\n", user_name,
                "engine: age 500 ms", result.per_second, result.allocations, static_cast<unsigned long long>(answers));
}

void run(const user& who, std::uint64_t decisions)
{
    std::mt19937_64 random(seed);
    router routes({.data_center = who.data_centers[1], .random = [&random] {
                       return random();
                   }});
    group_config_fields group{.name = "ledger-1", .slots_per_member = 3};
    for (std::size_t i = 0; i < 3; ++i) {
        group.members.push_back(member_config{{.name = "m" + std::to_string(i), .data_center = who.data_centers[i]}});
    }
    routes.configure(operator_config{{.groups = {{"ledger-1", group_config{std::move(group)}}}}});
    group_view view{{.group = "ledger-1", .member_count = 3}};
    for (duration sent = -10s; sent < 0s; sent += 100ms) {
        view = observed(view, who, start + sent);
        routes.observe(view);
    }
    const class_config config{{.max_staleness = 500ms}};
    const caller_request aged{{.group = "ledger-1", .max_staleness = 500ms}};
    const caller_request with_session{
        {.group = "ledger-1",
         .session = session_token{}.seen("ledger-1", log_position{{.term = 1, .index = 998'000}})}};
    report(who.name, "naive: primary", measure(decisions, [&](std::uint64_t) { return always_primary(view); }),
           decisions);
    const auto routed = [&](const caller_request& request, const class_config& declared) {
        return measure(decisions, [&](std::uint64_t i) {
            const instant now = start + duration(static_cast<std::int64_t>(i % 1000));
            const auto requirement = read_requirement::make(request, declared);
            return routes.route_read("ledger-1", requirement, {}, now);
        });
    };
    report(who.name, "router: age 500 ms", routed(aged, config), decisions);
    report(who.name, "router: session token", routed(with_session, class_config{}), decisions);
    report(who.name, "router: write", measure(decisions, [&](std::uint64_t) { return routes.route_write("ledger-1"); }),
           decisions);
    run_requests(who.name, routes, view, decisions / 10);
}

} // namespace

int main(int count, char** arguments)
{
    const std::uint64_t decisions = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 2'000'000;
    std::printf("seed %llu, %llu decisions per row, target 1,000,000 decisions/s\n",
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(decisions));
    run({.name = "kapot", .data_centers = {"ahmedabad", "vadodara", "rajkot"}, .between = 1ms, .lag = 100ms},
        decisions);
    run({.name = "alba", .data_centers = {"cluj-a", "cluj-b", "brasov-a"}, .between = 1500us, .lag = 100ms}, decisions);
    return 0;
}
