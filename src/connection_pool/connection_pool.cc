#include "connection_pool/connection_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace citronfall {

result<connection_pool> connection_pool::make(connection_pool_options options)
{
    auto definition = chart::make_embedded("connection");
    if (!ok(definition)) {
        return error_of(definition);
    }
    auto states = program::make(take(std::move(definition)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return connection_pool{std::move(options), take(std::move(states))};
}

connection_pool::connection_pool(connection_pool_options options, program states)
    : options_(std::move(options)), program_(std::move(states))
{
}

chart_bindings<connection_pool::step_context> connection_pool::bindings()
{
    using context = step_context;
    return {.events = {"opened", "acquire", "release", "lost", "discard", "heartbeat_due", "probe_answered",
                       "suspected", "cleared", "silent"},
            .guards = {},
            .actions = {{"make_idle",
                         [](context& step) {
                             step.subject.probe = 0;
                             step.pool.connections_to(step.subject.member).idle.push_back(step.subject.number);
                         }},
                        {"leave_idle",
                         [](context& step) {
                             std::erase(step.pool.connections_to(step.subject.member).idle, step.subject.number);
                         }},
                        {"send_probe",
                         [](context& step) {
                             step.subject.probe = step.pool.options_.next_number();
                             step.pool.options_.send(
                                 upstream_command::start(step.subject.number, step.subject.probe,
                                                         member_call{{.operation = member_operation::status}},
                                                         step.now + step.pool.options_.probe_timeout));
                         }},
                        {"close_socket",
                         [](context& step) {
                             step.pool.options_.send(upstream_command::close(step.subject.number));
                         }},
                        {"abort_exchange",
                         [](context& step) {
                             step.pool.options_.send(upstream_command::abort(step.subject.number));
                         }},
                        {"count_silent",
                         [](context& step) {
                             step.pool.options_.count("connections_silent_total");
                         }},
                        {"forget",
                         [](context& step) {
                             --step.pool.connections_to(step.subject.member).total;
                         }}},
            .arm_timer = [](context& step, const chart_timer&) {
                step.subject.due = step.now + step.pool.options_.heartbeat;
                if (!step.subject.timer_armed) {
                    step.subject.timer_armed = true;
                    step.pool.timers_.arm(step.subject.due, {.connection = step.subject.number, .member = {}});
                }
            }};
}

std::optional<connection_number> connection_pool::acquire(const member_key& member, instant now)
{
    const auto& idle = connections_to(member).idle;
    if (idle.empty()) {
        return std::nullopt;
    }
    const connection_number taken = idle.back();
    fire(taken, connection_event::acquire, now);
    return taken;
}

void connection_pool::release(connection_number connection, instant now)
{
    fire(connection, connection_event::release, now);
}

void connection_pool::discard(connection_number connection, instant now)
{
    fire(connection, connection_event::discard, now);
}

void connection_pool::ensure_connections(const member_key& member, std::size_t waiting, instant now)
{
    member_connections& connections = connections_to(member);
    const std::uint32_t limit = options_.limit(member);
    while (connections.total < limit && connections.opening < waiting && connections.opening < options_.max_opening) {
        const connection_number number = options_.next_number();
        connections_.emplace(number,
                             connection_record{.number = number, .member = member, .state = program_.initial()});
        ++connections.total;
        ++connections.opening;
        options_.send(upstream_command::open(number, options_.address(member), now + options_.connect_timeout()));
    }
}

std::uint32_t connection_pool::close_idle(const member_key& member, std::uint32_t count, instant now)
{
    std::uint32_t closed = 0;
    while (closed < count && !connections_to(member).idle.empty()) {
        fire(connections_to(member).idle.front(), connection_event::discard, now);
        ++closed;
    }
    return closed;
}

void connection_pool::close_all(const member_key& member, instant now)
{
    std::vector<connection_number> numbers;
    for (const auto& [number, record] : connections_) {
        if (record.member == member) {
            numbers.push_back(number);
        }
    }
    for (const connection_number number : numbers) {
        if (connections_.at(number).state == program_.initial()) {
            --connections_to(member).opening;
        }
        fire(number, connection_event::discard, now);
    }
}

std::optional<member_key> connection_pool::apply(const upstream_event& event, instant now)
{
    const auto found = connections_.find(event->connection);
    if (found == connections_.end()) {
        return std::nullopt;
    }
    const member_key member = found->second.member;
    const bool probe = found->second.probe != 0;
    switch (event->kind) {
    case upstream_event_kind::opened:
        --connections_to(member).opening;
        found->second.opened = now;
        fire(event->connection, connection_event::opened, now);
        return member;
    case upstream_event_kind::open_failed:
        --connections_to(member).opening;
        fire(event->connection, connection_event::lost, now);
        return std::nullopt;
    case upstream_event_kind::failed:
        fire(event->connection, connection_event::lost, now);
        start_suspicion(member, now);
        return std::nullopt;
    case upstream_event_kind::closed:
        fire(event->connection, connection_event::lost, now);
        return std::nullopt;
    case upstream_event_kind::answered:
        break;
    }
    // An answer on a connection that was opened after the suspicion proves nothing about the older ones.
    if (found->second.opened < connections_to(member).suspected) {
        clear_suspicion(member, now);
    }
    if (!probe) {
        return std::nullopt;
    }
    fire(event->connection, connection_event::probe_answered, now);
    return member;
}

void connection_pool::observe_status(const member_key& member, const upstream_event& event, instant now)
{
    member_connections& connections = connections_to(member);
    switch (event->kind) {
    case upstream_event_kind::opened:
        connections.status_open = now;
        return;
    case upstream_event_kind::failed:
        connections.status_open.reset();
        start_suspicion(member, now);
        return;
    case upstream_event_kind::open_failed:
    case upstream_event_kind::closed:
        connections.status_open.reset();
        return;
    case upstream_event_kind::answered:
        if (connections.status_open && *connections.status_open < connections.suspected) {
            clear_suspicion(member, now);
        }
        return;
    }
}

void connection_pool::tick(instant now)
{
    while (const auto timer = timers_.pop_due(now)) {
        if (timer->connection == 0) {
            end_suspicion(timer->member, now);
            continue;
        }
        const auto found = connections_.find(timer->connection);
        if (found == connections_.end()) {
            continue;
        }
        connection_record& subject = found->second;
        subject.timer_armed = false;
        if (subject.due <= now) {
            fire(timer->connection, connection_event::heartbeat_due, now);
        } else {
            // The connection has been used since the timer was armed.
            subject.timer_armed = true;
            timers_.arm(subject.due, *timer);
        }
    }
}

std::uint32_t connection_pool::connection_count(const member_key& member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? 0 : found->second.total;
}

std::optional<member_key> connection_pool::member_of(connection_number connection) const
{
    const auto found = connections_.find(connection);
    return found == connections_.end() ? std::nullopt : std::optional(found->second.member);
}

void connection_pool::fire(connection_number number, connection_event event, instant now)
{
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    step_context step{.pool = *this, .subject = found->second, .now = now};
    found->second.state = program_.fire(found->second.state, event, step).state;
    if (program_.is_final(found->second.state)) {
        connections_.erase(found);
    }
}

void connection_pool::fire_all(const member_key& member, connection_event event, instant now)
{
    std::vector<connection_number> numbers;
    for (const auto& [number, record] : connections_) {
        if (record.member == member) {
            numbers.push_back(number);
        }
    }
    for (const connection_number number : numbers) {
        fire(number, event, now);
    }
}

void connection_pool::start_suspicion(const member_key& member, instant now)
{
    if (connections_to(member).suspected) {
        return;
    }
    connections_to(member).suspected = now;
    timers_.arm(now + options_.probe_timeout, {.connection = 0, .member = member});
    fire_all(member, connection_event::suspected, now);
}

void connection_pool::clear_suspicion(const member_key& member, instant now)
{
    if (connections_to(member).suspected) {
        connections_to(member).suspected.reset();
        fire_all(member, connection_event::cleared, now);
    }
}

void connection_pool::end_suspicion(const member_key& member, instant now)
{
    const auto since = connections_to(member).suspected;
    if (!since || now - *since < options_.probe_timeout) {
        return; // The suspicion was cleared, and the member may have become suspect again since.
    }
    connections_to(member).suspected.reset();
    fire_all(member, connection_event::silent, now);
}

} // namespace citronfall
