#include "support/virtual_group.h"

namespace citronfall::testing {

virtual_group::virtual_group(virtual_time& time, virtual_group_options options)
    : time_(time), options_(std::move(options))
{
    for (const std::string& name : options_.members) {
        members_.emplace(name, member_state{.model = standin::member_model(name)});
    }
    const std::string& first = options_.members.front();
    members_.at(first).model.become_primary(time_.now());
    for (auto& [name, member] : members_) {
        if (name != first) {
            static_cast<void>(member.model.handle(
                0, member_call{{.operation = member_operation::follow, .term = 1, .primary_address = address(first)}},
                time_.now()));
        }
    }
    schedule_replication();
}

void virtual_group::execute(const std::string& daemon, const upstream_command& command, const notify_hook& notify)
{
    const connection_id id{daemon, command->connection};
    switch (command->kind) {
    case upstream_command_kind::open:
        open(id, command, notify);
        return;
    case upstream_command_kind::start_exchange:
        if (!connections_.contains(id)) {
            notify(upstream_event{{.kind = upstream_event_kind::failed,
                                   .connection = command->connection,
                                   .exchange = command->exchange,
                                   .received_at = time_.now()}});
            return;
        }
        start(id, command);
        return;
    case upstream_command_kind::abort:
        if (const auto aborted = connections_.find(id); aborted != connections_.end()) {
            time_.after({}, [this, id, exchange = aborted->second.exchange] { fail(id, exchange, time_.now()); });
        }
        return;
    case upstream_command_kind::close:
        break;
    }
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        // The member notices the close after it has received the calls that were sent before.
        time_.after(options_.latency * 2, [this, member = found->second.member, session = found->second.session] {
            members_.at(member).model.session_closed(session);
        });
        connections_.erase(found);
    }
}

void virtual_group::disconnect_daemon(const std::string& daemon)
{
    for (auto entry = connections_.begin(); entry != connections_.end();) {
        if (entry->first.first != daemon) {
            ++entry;
            continue;
        }
        time_.after(options_.latency * 2, [this, member = entry->second.member, session = entry->second.session] {
            members_.at(member).model.session_closed(session);
        });
        entry = connections_.erase(entry);
    }
}

void virtual_group::silence(const std::string& member)
{
    for (auto& [id, each] : connections_) {
        each.silent = each.silent || each.member == member;
    }
}

std::string virtual_group::primary() const
{
    std::string found;
    term_number highest = 0;
    for (const auto& [name, member] : members_) {
        const auto status = member.model.status();
        if (member.model.primary() && status->term > highest) {
            highest = status->term;
            found = name;
        }
    }
    return found;
}

void virtual_group::open(const connection_id& id, const upstream_command& command, const notify_hook& notify)
{
    const std::string member = command->address.substr(0, command->address.find(':'));
    const instant ready = time_.now() + time_.vary(options_.connect_time) + 2 * time_.vary(options_.latency);
    const bool known = members_.contains(member);
    time_.at(known ? std::min(ready, command->deadline) : time_.now(), [=, this] {
        upstream_event_fields event{
            .kind = upstream_event_kind::open_failed, .connection = id.second, .received_at = time_.now()};
        if (known && ready <= command->deadline && reachable(id.first, member)) {
            connections_[id] = connection_state{.member = member, .session = ++last_session_, .notify = notify};
            event.kind = upstream_event_kind::opened;
        } else if (known && time_.now() < command->deadline) {
            time_.at(command->deadline, [notify, event] { notify(upstream_event{event}); });
            return;
        }
        notify(upstream_event{event});
    });
}

void virtual_group::start(const connection_id& id, const upstream_command& command)
{
    connection_state& connection = connections_.at(id);
    connection.exchange = command->exchange;
    const instant sent_at = time_.now();
    time_.at(command->deadline, [this, id, exchange = command->exchange, sent_at] { fail(id, exchange, sent_at); });
    if (connection.silent) {
        return;
    }
    time_.after(time_.vary(options_.latency), [this, member = connection.member,
                                               call = waiting_call{.from = id,
                                                                   .session = connection.session,
                                                                   .exchange = command->exchange,
                                                                   .sent_at = sent_at,
                                                                   .call = command->call}] { receive(call, member); });
}

void virtual_group::receive(const waiting_call& call, const std::string& member)
{
    member_state& state = members_.at(member);
    if (!reachable(call.from.first, member)) {
        return;
    }
    if (call.call->operation != member_operation::statement) {
        execute_call(call, member);
        return;
    }
    state.queue.push_back(call);
    run_next(member);
}

void virtual_group::run_next(const std::string& member)
{
    member_state& state = members_.at(member);
    while (state.running < options_.slots && !state.queue.empty()) {
        ++state.running;
        const waiting_call next = state.queue.front();
        state.queue.pop_front();
        time_.after(standin::member_model::cost(next.call->statement, options_.service_time), [this, member, next] {
            execute_call(next, member);
            --members_.at(member).running;
            run_next(member);
        });
    }
}

void virtual_group::execute_call(const waiting_call& call, const std::string& member)
{
    member_state& state = members_.at(member);
    const member_call asked = distort_call ? distort_call(member, call.call) : call.call;
    const std::size_t before = state.model.log().size();
    member_answer answer = state.model.handle(call.session, asked, time_.now());
    if (distort_answer) {
        answer = distort_answer(member, call.call, answer);
    }
    if (state.model.primary() && state.model.log().size() != before) {
        time_.after(options_.lag, [this] { replicate(); });
    }
    const auto found = connections_.find(call.from);
    if (!reachable(call.from.first, member) || found == connections_.end() || found->second.silent) {
        return;
    }
    time_.after(time_.vary(options_.latency), [this, call, answer, member] {
        const auto open = connections_.find(call.from);
        if (open == connections_.end() || open->second.exchange != call.exchange || open->second.silent ||
            !reachable(call.from.first, member)) {
            return;
        }
        open->second.exchange = 0;
        open->second.notify(upstream_event{{.kind = upstream_event_kind::answered,
                                            .connection = call.from.second,
                                            .exchange = call.exchange,
                                            .answer = answer,
                                            .bytes_sent = true,
                                            .sent_at = call.sent_at,
                                            .received_at = time_.now()}});
    });
}

void virtual_group::fail(const connection_id& id, exchange_number exchange, instant sent_at)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.exchange != exchange) {
        return;
    }
    const connection_state lost = found->second;
    connections_.erase(found);
    members_.at(lost.member).model.session_closed(lost.session);
    lost.notify(upstream_event{{.kind = upstream_event_kind::failed,
                                .connection = id.second,
                                .exchange = exchange,
                                .bytes_sent = true,
                                .sent_at = sent_at,
                                .received_at = time_.now()}});
}

void virtual_group::replicate()
{
    for (auto& [name, member] : members_) {
        const std::string followed = member.model.followed();
        const auto primary = members_.find(followed.substr(0, followed.find(':')));
        if (primary != members_.end() && !primary->second.partitioned && !member.partitioned) {
            member.model.replicate_from(primary->second.model, time_.now() - options_.lag);
        }
    }
}

void virtual_group::schedule_replication()
{
    replicate();
    time_.after(std::chrono::milliseconds(20), [this] { schedule_replication(); });
}

} // namespace citronfall::testing
