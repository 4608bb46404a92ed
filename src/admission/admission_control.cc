#include "admission/admission_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronfall {
namespace {

/// Fraction of the time to its deadline that a request may be expected to wait. The rest covers the error of the
/// estimate, the execution and the confirmation.
constexpr double max_wait_fraction = 0.6;

constexpr duration min_retry_delay = std::chrono::milliseconds(10);

class_key key_of(const queued_request& work)
{
    return class_key{{.tenant = work->tenant, .class_name = work->class_name}};
}

duration scaled(duration length, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * factor));
}

/// Adds jitter to the retry delay: requests that are refused together are told to retry at times spread between one and
/// two expected waits, so that they do not return together.
duration jittered_retry_delay(duration wait, request_handle handle)
{
    constexpr std::uint64_t odd_multiplier = 0x9e3779b97f4a7c15;
    const double spread = static_cast<double>((handle * odd_multiplier) >> 40) / static_cast<double>(1 << 24);
    return std::max(min_retry_delay, scaled(wait, 1 + spread));
}

} // namespace

std::optional<refusal> admission_control::admit(const caller_request& request, const member_key& member, instant now)
{
    members_[member].arrivals.arrived(now);
    const operator_config& config = options_.config();
    const tenant_config* tenant = config.tenant(request->tenant);
    const class_config* declared = config.find_class(request->tenant, request->class_name);
    const queued_request work = queued_request_of(request, now);
    const duration wait = wait_for(work, member);
    const auto state = members_.find(member);
    const bool queued = state != members_.end() && state->second.queue.size() > 0;
    const duration service = costs_.expected(key_of(work), work->declared_long);
    if (waiting_ >= config->limits->queue_length) {
        return refusal{{.detail = "the queues of the daemon are full",
                        .retry_after = jittered_retry_delay(wait + service, request->handle)}};
    }
    if (queued && wait + service > scaled(request->deadline - now, max_wait_fraction)) {
        return refusal{{.detail = "the expected wait exceeds the deadline",
                        .retry_after = jittered_retry_delay(wait, request->handle)}};
    }
    if (auto over = limits_.admit(*tenant, *declared, now)) {
        return over;
    }
    requests_.insert_or_assign(
        request->handle, tracked_request{.key = key_of(work), .member = member, .waiting = false, .counted = true});
    return std::nullopt;
}

void admission_control::enqueue(const caller_request& request, const member_key& member, instant now)
{
    withdraw(request->handle);
    finished(request->handle, now);
    const queued_request work = queued_request_of(request, now);
    tracked_request& place = requests_[request->handle];
    place.key = key_of(work);
    place.member = member;
    place.waiting = true;
    members_[member].queue.push(work);
    ++waiting_;
}

void admission_control::withdraw(request_handle handle)
{
    const auto found = requests_.find(handle);
    if (found == requests_.end() || !found->second.waiting) {
        return;
    }
    found->second.waiting = false;
    if (members_[found->second.member].queue.erase(found->second.key, handle)) {
        --waiting_;
    }
}

std::size_t admission_control::ready(const member_key& member, instant now) const
{
    const auto found = members_.find(member);
    if (found == members_.end() || found->second.queue.size() == 0) {
        return 0;
    }
    const member_state& state = found->second;
    const std::uint32_t limit = capacity(member);
    if (state.running.size() >= limit) {
        return 0;
    }
    const std::size_t free = limit - state.running.size();
    const std::size_t waiting_short = short_waiting(state);
    const std::size_t waiting_long = state.queue.size() - waiting_short;
    const std::size_t long_limit = std::max<std::size_t>(1, max_long_running(member, waiting_short > 0));
    const std::size_t running_long = long_running(state, now);
    const std::size_t short_running = state.running.size() - running_long;
    const std::size_t short_free = concurrency(member) - std::min<std::size_t>(concurrency(member), short_running);
    return std::min(free, std::min(waiting_short, short_free) +
                              std::min(waiting_long, long_limit - std::min(long_limit, running_long)));
}

std::optional<request_handle> admission_control::take(const member_key& member, instant now)
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return std::nullopt;
    }
    member_state& state = found->second;
    const std::uint32_t limit = capacity(member);
    if (state.running.size() >= limit) {
        return std::nullopt;
    }
    const bool short_waits = short_waiting(state) > 0;
    const std::size_t long_limit = max_long_running(member, short_waits);
    const std::size_t running_long = long_running(state, now);
    const bool short_full = state.running.size() - running_long >= concurrency(member);
    const auto eligible = [&](const queued_request& work) {
        if (!is_long(work)) {
            return !short_full;
        }
        if (running_long < long_limit) {
            return true;
        }
        // If there is room for a single request, long requests would starve behind short ones. A long request may
        // therefore run once it has waited for half of the time to its deadline.
        return long_limit == 0 && running_long == 0 && now - work->admitted > (work->deadline - work->admitted) / 2;
    };
    // A request that cannot finish before its deadline would take the place of one that can. It is charged nothing and
    // does not run.
    const auto cost = [&](const queued_request& work) {
        const duration expected = costs_.expected(key_of(work), work->declared_long);
        return now + expected < work->deadline ? expected : duration{0};
    };
    while (const auto work = state.queue.pop(eligible, cost)) {
        --waiting_;
        requests_[(*work)->handle].waiting = false;
        if (cost(*work) == duration{0}) {
            continue;
        }
        state.running.emplace((*work)->handle, running_request{.work = *work, .since = now});
        state.capacity = state.queue.size() > 0 ? state.running.size() : limit;
        return (*work)->handle;
    }
    return std::nullopt;
}

void admission_control::finished(request_handle handle, instant now)
{
    const auto place = requests_.find(handle);
    if (place == requests_.end()) {
        return;
    }
    const member_key& member = place->second.member;
    member_state& state = members_[member];
    const auto found = state.running.find(handle);
    if (found == state.running.end()) {
        return;
    }
    const duration service = now - found->second.since;
    const class_key key = key_of(found->second.work);
    const bool limit_reached = state.running.size() >= concurrency(member);
    costs_.record(key, service);
    if (!state.limit) {
        state.limit.emplace(slots(member));
    }
    // The running time of a long request says little about queueing on the member, and with few samples it would move
    // the limit at random.
    if (!is_long(found->second.work)) {
        state.limit->record(key, service, limit_reached, now);
    }
    state.running.erase(found);
}

void admission_control::ended(request_handle handle, instant now)
{
    finished(handle, now);
    withdraw(handle);
    const auto found = requests_.find(handle);
    if (found == requests_.end()) {
        return;
    }
    if (found->second.counted) {
        limits_.ended(found->second.key);
    }
    requests_.erase(found);
}

std::size_t admission_control::waiting(const member_key& member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? 0 : found->second.queue.size();
}

std::size_t admission_control::running(const member_key& member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? 0 : found->second.running.size();
}

std::uint32_t admission_control::concurrency(const member_key& member) const
{
    return std::max<std::uint32_t>(1, std::min(target_concurrency(member), options_.connections(member)));
}

std::uint32_t admission_control::capacity(const member_key& member) const
{
    // A long request in the only place would block every short one, so there is a second place if there are enough
    // connections.
    return std::max(concurrency(member), std::min<std::uint32_t>(2, options_.connections(member)));
}

std::uint32_t admission_control::target_concurrency(const member_key& member) const
{
    const auto found = members_.find(member);
    const bool measured = found != members_.end() && found->second.limit;
    return measured ? found->second.limit->value() : slots(member);
}

std::uint32_t admission_control::expected_connections(const member_key& member, instant now)
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return 0;
    }
    const double busy =
        found->second.arrivals.expected_rate(now) * std::chrono::duration<double>(costs_.cheapest()).count();
    return static_cast<std::uint32_t>(std::min<double>(std::ceil(busy), target_concurrency(member)));
}

duration admission_control::expected_wait(const class_key& key, const member_key& member) const
{
    const class_config* declared = options_.config().find_class(key->tenant, key->class_name);
    const tenant_config* tenant = options_.config().tenant(key->tenant);
    return wait_for(
        queued_request{{.tenant = key->tenant,
                        .class_name = key->class_name,
                        .tenant_weight = tenant == nullptr ? 1 : (*tenant)->weight,
                        .class_weight = declared == nullptr ? 1 : (*declared)->weight,
                        .declared_long = declared != nullptr && (*declared)->cost == cost_class::long_request}},
        member);
}

queued_request admission_control::queued_request_of(const caller_request& request, instant now) const
{
    const operator_config& config = options_.config();
    const tenant_config* tenant = config.tenant(request->tenant);
    const class_config* declared = config.find_class(request->tenant, request->class_name);
    return queued_request{{.handle = request->handle,
                           .tenant = request->tenant,
                           .class_name = request->class_name,
                           .tenant_weight = tenant == nullptr ? 1 : (*tenant)->weight,
                           .class_weight = declared == nullptr ? 1 : (*declared)->weight,
                           .declared_long = declared != nullptr && (*declared)->cost == cost_class::long_request,
                           .admitted = now,
                           .deadline = request->deadline}};
}

std::uint32_t admission_control::slots(const member_key& member) const
{
    const group_config* group = options_.config().group(member->group);
    return group == nullptr ? 1 : std::max<std::uint32_t>(1, (*group)->slots_per_member);
}

bool admission_control::is_long(const queued_request& work) const
{
    return costs_.is_long(key_of(work), work->declared_long, options_.config()->limits->long_request_after);
}

std::size_t admission_control::long_running(const member_state& state, instant now) const
{
    const duration threshold = options_.config()->limits->long_request_after;
    return static_cast<std::size_t>(std::count_if(state.running.begin(), state.running.end(), [&](const auto& each) {
        return is_long(each.second.work) || costs_.exceeds_long_threshold(now - each.second.since, threshold);
    }));
}

std::size_t admission_control::short_waiting(const member_state& state) const
{
    std::size_t count = 0;
    state.queue.each_class(
        [&](const queued_request& oldest, std::size_t waiting) { count += is_long(oldest) ? 0 : waiting; });
    return count;
}

std::size_t admission_control::max_long_running(const member_key& member, bool short_waits) const
{
    // The concurrency limit may exceed the slots in order to keep them busy; long requests must not fill all slots
    // because of that.
    const std::size_t usable = std::min(capacity(member), slots(member));
    const std::size_t part = std::max<std::size_t>(1, usable * options_.config()->limits->long_request_percent / 100);
    return short_waits ? std::min<std::size_t>(part, capacity(member) - 1) : part;
}

duration admission_control::wait_for(const queued_request& work, const member_key& member) const
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return duration{0};
    }
    const member_state& state = found->second;
    // Fewer connections may be open than the limit allows, so the capacity is the concurrency observed last while work
    // was queued.
    const auto capacity = static_cast<double>(std::clamp<std::size_t>(state.capacity, 1, concurrency(member)));
    const class_key key = key_of(work);
    const bool is_long_request = is_long(work);
    double all = 0;
    double long_work = 0;
    state.queue.each_class([&](const queued_request& oldest, std::size_t waiting) {
        const duration cost = costs_.expected(key_of(oldest), oldest->declared_long);
        const double time = static_cast<double>(cost.count()) * static_cast<double>(waiting);
        all += time;
        long_work += is_long(oldest) ? time : 0;
    });
    const double own = static_cast<double>(costs_.expected(key, work->declared_long).count()) *
                       static_cast<double>(state.queue.size(key));
    const double part = state.queue.share(key, work->tenant_weight, work->class_weight);
    // A class waits for its own queue at its share of the capacity, or for the whole queue at the full capacity,
    // whichever is shorter.
    double wait = std::min(own / (capacity * part), all / capacity);
    if (is_long_request) {
        wait =
            std::max(wait, long_work / static_cast<double>(std::max<std::size_t>(1, max_long_running(member, false))));
    }
    return duration(static_cast<duration::rep>(wait));
}

} // namespace citronfall
