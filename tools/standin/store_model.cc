#include "standin/store_model.h"

#include <utility>

namespace citronfall::standin {
namespace {

/// Items per page of a range.
constexpr std::size_t page_items = 500;

} // namespace

void store_model::perform(store_client_number client, const store_call& call, instant now, const answer_hook& answer)
{
    advance(now);
    if (const auto* watch = std::get_if<watch_range>(&call->body)) {
        watches_.push_back({.client = client, .call = call, .answer = answer, .until = now + (*watch)->wait});
        answer_watches(now);
        return;
    }
    store_answer_fields fields = answer_now(call, now);
    fields.number = call->number;
    fields.era = std::holds_alternative<promote_member>(call->body) ? 0 : era_;
    answer(store_answer{std::move(fields)});
    answer_watches(now);
}

store_answer_fields store_model::answer_now(const store_call& call, instant now)
{
    if (const auto* range = std::get_if<read_range>(&call->body)) {
        return read_page(*range);
    }
    if (const auto* request = std::get_if<change_items>(&call->body)) {
        return change(*request, now);
    }
    if (const auto* request = std::get_if<grant_lease>(&call->body)) {
        return grant(*request, now);
    }
    if (const auto* request = std::get_if<renew_lease>(&call->body)) {
        return renew(*request, now);
    }
    if (const auto* request = std::get_if<end_lease>(&call->body)) {
        const auto found = leases_.find((*request)->lease);
        if (found == leases_.end()) {
            return {.outcome = call_outcome::missing};
        }
        found->second.until = now;
        advance(now);
        return {};
    }
    return promote(std::get<promote_member>(call->body), now);
}

store_answer_fields store_model::read_page(const read_range& range) const
{
    store_answer_fields answer{.revision = revision_};
    for (auto each = items_.upper_bound(std::max(range->after_key, range->prefix)); each != items_.end(); ++each) {
        if (!each->first.starts_with(range->prefix)) {
            break;
        }
        if (answer.items.size() == page_items) {
            answer.more_pages = true;
            break;
        }
        answer.items.push_back(each->second);
    }
    return answer;
}

store_answer_fields store_model::change(const change_items& request, instant now)
{
    store_answer_fields answer;
    for (const expected_revision& each : request->expected) {
        const auto found = items_.find(each->key);
        if ((found == items_.end() ? 0 : found->second->revision) != each->revision) {
            answer.outcome = call_outcome::conflict;
        }
        if (found != items_.end()) {
            answer.items.push_back(found->second);
        }
    }
    if (answer.outcome == call_outcome::conflict) {
        return answer;
    }
    answer.items.clear();
    for (const store_item& each : request->writes) {
        if (each->lease != 0 && !leases_.contains(each->lease)) {
            return {.outcome = call_outcome::missing};
        }
    }
    for (const store_item& each : request->writes) {
        write(each->key, each->value, each->lease, now);
    }
    for (const std::string& each : request->deletes) {
        remove(each, now);
    }
    answer.revision = revision_;
    return answer;
}

store_answer_fields store_model::grant(const grant_lease& request, instant now)
{
    const lease_number number = ++last_lease_;
    leases_[number] = {.until = now + request->time_to_live, .time_to_live = request->time_to_live};
    return {.lease = number, .time_to_live = request->time_to_live};
}

store_answer_fields store_model::renew(const renew_lease& request, instant now)
{
    const auto found = leases_.find(request->lease);
    if (found == leases_.end()) {
        return {.outcome = call_outcome::missing};
    }
    found->second.until = now + found->second.time_to_live;
    return {.lease = request->lease, .time_to_live = found->second.time_to_live};
}

store_answer_fields store_model::promote(const promote_member& order, instant now)
{
    std::uint64_t& highest = fences_[order->service];
    if (order->fence < highest) {
        return {.outcome = call_outcome::conflict};
    }
    highest = order->fence;
    return {.outcome = options_.promote(order, now)};
}

void store_model::write(const std::string& key, const std::string& value, lease_number lease, instant now)
{
    items_[key] = store_item{{.key = key, .value = value, .revision = ++revision_, .lease = lease}};
    deletions_.erase(key);
    answer_watches(now);
}

void store_model::remove(const std::string& key, instant now)
{
    if (items_.erase(key) > 0) {
        deletions_[key] = ++revision_;
        answer_watches(now);
    }
}

void store_model::advance(instant now)
{
    std::vector<std::string> ended;
    for (const auto& [key, item] : items_) {
        const auto found = leases_.find(item->lease);
        if (item->lease != 0 && (found == leases_.end() || found->second.until <= now)) {
            ended.push_back(key);
        }
    }
    std::erase_if(leases_, [now](const auto& each) { return each.second.until <= now; });
    for (const std::string& key : ended) {
        remove(key, now);
    }
    answer_watches(now);
}

store_copy store_model::copy(instant now)
{
    advance(now);
    store_copy_fields fields{
        .items = items_, .deletions = deletions_, .revision = revision_, .oldest_known = oldest_known_};
    for (const auto& [number, lease] : leases_) {
        fields.leases[number] = {.time_left = lease.until - now, .time_to_live = lease.time_to_live};
    }
    return store_copy{std::move(fields)};
}

void store_model::restore(const store_copy& copy, instant now)
{
    const std::list<waiting_watch> cut = std::exchange(watches_, {});
    ++era_;
    items_ = copy->items;
    deletions_ = copy->deletions;
    revision_ = copy->revision;
    oldest_known_ = copy->oldest_known;
    leases_.clear();
    for (const auto& [number, lease] : copy->leases) {
        leases_[number] = {.until = now + lease.time_left, .time_to_live = lease.time_to_live};
    }
    for (const waiting_watch& each : cut) {
        each.answer(store_answer{{.number = each.call->number, .outcome = call_outcome::unanswered}});
    }
}

const store_item* store_model::find(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

void store_model::end_watches(store_client_number client)
{
    std::erase_if(watches_, [client](const waiting_watch& each) {
        if (each.client == client) {
            each.answer(store_answer{{.number = each.call->number, .outcome = call_outcome::unanswered}});
        }
        return each.client == client;
    });
}

void store_model::answer_watches(instant now)
{
    for (auto each = watches_.begin(); each != watches_.end();) {
        each = answer_watch(*each, now) ? watches_.erase(each) : std::next(each);
    }
}

bool store_model::answer_watch(const waiting_watch& watch, instant now) const
{
    const watch_range& request = std::get<watch_range>(watch.call->body);
    store_answer_fields answer{.number = watch.call->number, .era = era_, .revision = revision_};
    if (request->after < oldest_known_ || request->after > revision_) {
        answer.outcome = call_outcome::history_gone;
        watch.answer(store_answer{std::move(answer)});
        return true;
    }
    for (auto each = items_.lower_bound(request->prefix);
         each != items_.end() && each->first.starts_with(request->prefix); ++each) {
        if (each->second->revision > request->after) {
            answer.items.push_back(each->second);
        }
    }
    for (auto each = deletions_.lower_bound(request->prefix);
         each != deletions_.end() && each->first.starts_with(request->prefix); ++each) {
        if (each->second > request->after) {
            answer.items.push_back(store_item{{.key = each->first, .revision = each->second, .deleted = true}});
        }
    }
    if (answer.items.empty() && now < watch.until) {
        return false;
    }
    watch.answer(store_answer{std::move(answer)});
    return true;
}

} // namespace citronfall::standin
