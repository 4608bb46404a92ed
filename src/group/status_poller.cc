#include "group/status_poller.h"

#include <algorithm>
#include <utility>

namespace citronfall {

void status_poller::set_members(const std::set<member_key>& members, instant now)
{
    for (auto entry = channels_.begin(); entry != channels_.end();) {
        if (members.contains(entry->first)) {
            ++entry;
            continue;
        }
        if (entry->second.connection) {
            members_by_connection_.erase(*entry->second.connection);
            options_.send(upstream_command::close(*entry->second.connection));
        }
        entry = channels_.erase(entry);
    }
    for (const member_key& member : members) {
        channels_.try_emplace(member, member_channel{.due = now});
    }
    tick(now);
}

void status_poller::poll_now(const std::string& group, instant now)
{
    for (auto& [member, each] : channels_) {
        if (member->group != group) {
            continue;
        }
        if (each.outstanding) {
            each.poll_again = true;
        } else if (each.open) {
            call(each, now);
        }
    }
}

void status_poller::tick(instant now)
{
    for (auto& [member, each] : channels_) {
        if (each.outstanding || each.due > now) {
            continue;
        }
        if (!each.connection) {
            connect(member, each, now);
        } else if (each.open) {
            call(each, now);
        }
    }
}

void status_poller::control(const member_key& member, const member_call& call_to_send, instant now)
{
    const auto found = channels_.find(member);
    if (found == channels_.end()) {
        return;
    }
    member_channel& each = found->second;
    each.control_calls.push_back(call_to_send);
    if (each.outstanding) {
        return;
    }
    if (each.open) {
        call(each, now);
    } else if (!each.connection) {
        connect(member, each, now);
    }
}

poll_result status_poller::apply(const upstream_event& event, instant now)
{
    const auto owner = members_by_connection_.find(event->connection);
    if (owner == members_by_connection_.end()) {
        return {};
    }
    const member_key member = owner->second;
    member_channel& each = channels_.at(member);
    switch (event->kind) {
    case upstream_event_kind::opened:
        each.open = true;
        call(each, now);
        return {};
    case upstream_event_kind::open_failed:
    case upstream_event_kind::failed:
    case upstream_event_kind::closed:
        return reset_channel(member, each, now);
    case upstream_event_kind::answered:
        break;
    }
    poll_result report;
    each.outstanding = false;
    each.failed = false;
    each.due = now + options_.interval();
    if (std::exchange(each.control_outstanding, false)) {
        report.ended_calls.push_back(
            control_call_result{.member = member, .call = each.control_calls.front(), .answer = event->answer});
        each.control_calls.pop_front();
    }
    if (each.poll_again || !each.control_calls.empty()) {
        call(each, now);
    }
    if (event->answer->status) {
        each.last_answer_at = event->received_at;
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
    for (const auto& [member, each] : channels_) {
        const bool waiting = each.outstanding || (each.connection && !each.open);
        if (!waiting && (!earliest || each.due < *earliest)) {
            earliest = each.due;
        }
    }
    return earliest;
}

std::optional<instant> status_poller::last_answer(const member_key& member) const
{
    const auto found = channels_.find(member);
    return found == channels_.end() ? std::nullopt : found->second.last_answer_at;
}

bool status_poller::last_call_failed(const member_key& member) const
{
    const auto found = channels_.find(member);
    return found != channels_.end() && found->second.failed;
}

void status_poller::connect(const member_key& member, member_channel& target, instant now)
{
    target.connection = options_.next_number();
    target.open = false;
    members_by_connection_.emplace(*target.connection, member);
    options_.send(upstream_command::open(*target.connection, options_.address(member), now + options_.timeout()));
}

void status_poller::call(member_channel& target, instant now)
{
    target.outstanding = true;
    target.control_outstanding = !target.control_calls.empty();
    target.poll_again = target.poll_again && target.control_outstanding;
    options_.send(upstream_command::start(*target.connection, options_.next_number(),
                                          target.control_outstanding
                                              ? target.control_calls.front()
                                              : member_call{{.operation = member_operation::status}},
                                          now + options_.timeout()));
}

poll_result status_poller::reset_channel(const member_key& member, member_channel& target, instant now)
{
    poll_result report;
    for (member_call& lost : target.control_calls) {
        report.ended_calls.push_back(control_call_result{.member = member, .call = std::move(lost), .answer = {}});
    }
    target.control_calls.clear();
    members_by_connection_.erase(*target.connection);
    target.connection.reset();
    // Open connections can stop responding while new ones work, so a lost connection is reopened at once.
    target.due = target.open ? now : now + options_.interval();
    target.open = false;
    target.outstanding = false;
    target.control_outstanding = false;
    target.failed = true;
    return report;
}

} // namespace citronfall
