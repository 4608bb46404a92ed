#include "admission/request_deduplicator.h"

#include <utility>

namespace citronfall {
namespace {

/// Number of refused ids that are kept: about those of one second at ten times a daemon's ordinary load.
constexpr std::size_t max_remembered_refusals = 32'768;

/// Only writes and commits are identified by their request id; two reads with the same id may differ in session and
/// statement.
bool is_deduplicated(const caller_request& request)
{
    return !request->request_id.empty() &&
           (request->kind == statement_kind::write || request->operation == caller_operation::commit);
}

} // namespace

bool request_deduplicator::first(const caller_request& request)
{
    if (!is_deduplicated(request)) {
        return true;
    }
    const request_key key = key_of(request);
    const auto [found, added] = running_.try_emplace(key, entry{.original = request->handle, .followers = {}});
    if (added) {
        return true;
    }
    found->second.followers.emplace(request->handle, request);
    deadlines_.emplace(request->deadline, std::pair(key, request->handle));
    return false;
}

std::optional<duration> request_deduplicator::remaining_backoff(const caller_request& request, instant now) const
{
    if (!is_deduplicated(request)) {
        return std::nullopt;
    }
    const auto found = refused_.find(key_of(request));
    return found != refused_.end() && found->second > now ? std::optional(found->second - now) : std::nullopt;
}

void request_deduplicator::refused(const caller_request& request, duration retry_after, instant now)
{
    if (!is_deduplicated(request)) {
        return;
    }
    const request_key key = key_of(request);
    if (refused_.insert_or_assign(key, now + retry_after).second) {
        refused_order_.push_back(key);
    }
    if (refused_order_.size() > max_remembered_refusals) {
        refused_.erase(refused_order_.front());
        refused_order_.pop_front();
    }
}

std::vector<caller_request> request_deduplicator::ended(const caller_request& request)
{
    std::vector<caller_request> followers;
    const auto found = running_.find(key_of(request));
    if (!is_deduplicated(request) || found == running_.end() || found->second.original != request->handle) {
        return followers;
    }
    for (const auto& [handle, follower] : found->second.followers) {
        followers.push_back(follower);
        std::erase_if(deadlines_, [handle = handle](const auto& each) { return each.second.second == handle; });
    }
    running_.erase(found);
    return followers;
}

std::optional<caller_request> request_deduplicator::take_expired(instant now)
{
    if (deadlines_.empty() || deadlines_.begin()->first > now) {
        return std::nullopt;
    }
    const auto [key, handle] = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    auto taken = running_.at(key).followers.extract(handle);
    return std::move(taken.mapped());
}

std::optional<instant> request_deduplicator::next() const
{
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

request_deduplicator::request_key request_deduplicator::key_of(const caller_request& request)
{
    return {request->tenant, request->group, request->request_id};
}

} // namespace citronfall
