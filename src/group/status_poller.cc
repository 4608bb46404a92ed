#include "group/status_poller.h"

#include <algorithm>
#include <utility>

namespace citronfall {

void status_poller::watch(const std::set<member_key>& members, instant now)
{
    for (auto entry = lanes_.begin(); entry != lanes_.end();) {
        if (members.contains(entry->first)) {
            ++entry;
            continue;
        }
        if (entry->second.connection) {
            owners_.erase(*entry->second.connection);
            options_.send(upstream_command::close(*entry->second.connection));
        }
        entry = lanes_.erase(entry);
    }
    for (const member_key& member : members) {
        lanes_.try_emplace(member, member_channel{.due = now});
    }
    tick(now);
}

void status_poller::poll_now(const std::string& group, instant now)
{
    for (auto& [member, each] : lanes_) {
        if (member->group != group) {
            continue;
        }
        if (each.outstanding) {
            each.hurried = true;
        } else if (each.ready) {
            call(each, now);
        }
    }
}

void status_poller::tick(instant now)
{
    for (auto& [member, each] : lanes_) {
        if (each.outstanding || each.due > now) {
            continue;
        }
        if (!each.connection) {
            connect(member, each, now);
        } else if (each.ready) {
            call(each, now);
        }
    }
}

void status_poller::control(const member_key& member, const member_call& call_to_send, instant now)
{
    const auto found = lanes_.find(member);
    if (found == lanes_.end()) {
        return;
    }
    member_channel& each = found->second;
    each.controls.push_back(call_to_send);
    if (each.outstanding) {
        return;
    }
    if (each.ready) {
        call(each, now);
    } else if (!each.connection) {
        connect(member, each, now);
    }
}

poll_result status_poller::apply(const upstream_event& event, instant now)
{
    const auto owner = owners_.find(event->connection);
    if (owner == owners_.end()) {
        return {};
    }
    const member_key member = owner->second;
    member_channel& each = lanes_.at(member);
    switch (event->kind) {
    case upstream_event_kind::opened:
        each.ready = true;
        call(each, now);
        return {};
    case upstream_event_kind::open_failed:
    case upstream_event_kind::failed:
    case upstream_event_kind::closed:
        return drop(member, each, now);
    case upstream_event_kind::answered:
        break;
    }
    poll_result report;
    each.outstanding = false;
    each.failed = false;
    each.due = now + options_.interval();
    if (std::exchange(each.controlling, false)) {
        report.ended.push_back(
            control_call_result{.member = member, .call = each.controls.front(), .answer = event->answer});
        each.controls.pop_front();
    }
    if (each.hurried || !each.controls.empty()) {
        call(each, now);
    }
    if (event->answer->status) {
        each.answered = event->received_at;
        report.observation = member_observation{
            .member = member,
            .observation = status_observation{
                {.status = *event->answer->status, .sent_at = event->sent_at, .received_at = event->received_at}}};
    }
    return report;
}

std::optional<instant> status_poller::next() const
{
    std::optional<instant> earliest;
    for (const auto& [member, each] : lanes_) {
        const bool waiting = each.outstanding || (each.connection && !each.ready);
        if (!waiting && (!earliest || each.due < *earliest)) {
            earliest = each.due;
        }
    }
    return earliest;
}

std::optional<instant> status_poller::last_answer(const member_key& member) const
{
    const auto found = lanes_.find(member);
    return found == lanes_.end() ? std::nullopt : found->second.answered;
}

bool status_poller::last_call_failed(const member_key& member) const
{
    const auto found = lanes_.find(member);
    return found != lanes_.end() && found->second.failed;
}

void status_poller::connect(const member_key& member, member_channel& target, instant now)
{
    target.connection = options_.next_number();
    target.ready = false;
    owners_.emplace(*target.connection, member);
    options_.send(upstream_command::open(*target.connection, options_.address(member), now + options_.timeout()));
}

void status_poller::call(member_channel& target, instant now)
{
    target.outstanding = true;
    target.controlling = !target.controls.empty();
    target.hurried = target.hurried && target.controlling;
    options_.send(upstream_command::start(*target.connection, options_.next_number(),
                                          target.controlling ? target.controls.front()
                                                             : member_call{{.operation = member_operation::status}},
                                          now + options_.timeout()));
}

poll_result status_poller::drop(const member_key& member, member_channel& target, instant now)
{
    poll_result report;
    for (member_call& lost : target.controls) {
        report.ended.push_back(control_call_result{.member = member, .call = std::move(lost), .answer = {}});
    }
    target.controls.clear();
    owners_.erase(*target.connection);
    target.connection.reset();
    // Open connections can stop responding while new ones work, so a lost connection is reopened at once.
    target.due = target.ready ? now : now + options_.interval();
    target.ready = false;
    target.outstanding = false;
    target.controlling = false;
    target.failed = true;
    return report;
}

} // namespace citronfall
