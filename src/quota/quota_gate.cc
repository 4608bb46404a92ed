#include "quota/quota_gate.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Longest wait of an operation: little beside the target time of a request, and enough for two holders to answer.
constexpr duration max_wait = std::chrono::milliseconds(250);

/// Time after which a holder is not expected to answer any more, so that the other part is asked.
constexpr duration answer_timeout = std::chrono::milliseconds(120);
static_assert(answer_timeout < quota_grant_lifetime, "a late answer must not grant what has lapsed");

/// Interval between requests while operations wait, which batches a crowd.
constexpr duration urgent_interval = std::chrono::milliseconds(5);

/// Interval between requests that only ask ahead.
constexpr duration ahead_interval = std::chrono::milliseconds(25);

/// Bounds of the time for which a part that had nothing left is not asked again. The upper one keeps the requests of
/// a tenant far above its limit few; what the holder saves up meanwhile is granted ahead.
constexpr duration min_closed = std::chrono::milliseconds(10);
constexpr duration max_closed = std::chrono::milliseconds(250);

/// Retry delay where no holder can be asked.
constexpr duration unreachable_retry_delay = std::chrono::milliseconds(500);

/// Most operations that a daemon asks for ahead, for one tenant.
constexpr double max_ahead = 1000;

/// The same part is preferred by about half of the daemons.
std::uint32_t preferred_part(const std::string& tenant, const std::string& daemon)
{
    return quota_group(tenant + "/" + daemon, 0) % quota_part_count;
}

std::uint32_t other_part(std::uint32_t part)
{
    return quota_part_count - 1 - part;
}

} // namespace

result<std::unique_ptr<quota_gate>> quota_gate::make(quota_gate_options options)
{
    std::unique_ptr<quota_gate> made(new quota_gate(std::move(options)));
    if (const auto bound = made->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return made;
}

result<done> quota_gate::bind()
{
    auto made = make_embedded_program<event, context>("quota_wait", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    return done{};
}

chart_bindings<quota_gate::context> quota_gate::bindings()
{
    return {.events = {"sent", "granted", "declined", "expired", "cancelled"},
            .guards = {{"other_part_open",
                        [](const context& each) {
                            const waiting_operation& operation = each.operation;
                            const tenant_state& tenant = each.gate.tenants_.at(operation.tenant);
                            return each.gate.is_open(operation.tenant, tenant, other_part(operation.part), each.now);
                        }}},
            .actions = {
                {"note_request",
                 [](context& each) {
                     each.operation.request = each.request;
                 }},
                {"turn_to_other_part",
                 [](context& each) {
                     each.operation.part = other_part(each.operation.part);
                     each.gate.asking_.insert(each.operation.tenant);
                     each.gate.urgent_ = true;
                 }},
                {"admit",
                 [](context& each) {
                     ++each.gate.tenants_.at(each.operation.tenant).admitted_total;
                     each.gate.decide(each.operation, quota_admission{{.lapses_at = each.lapses_at}});
                 }},
                {"refuse",
                 [](context& each) {
                     tenant_state& tenant = each.gate.tenants_.at(each.operation.tenant);
                     ++tenant.refused_total;
                     each.gate.decide(each.operation, each.gate.refusal(tenant, each.now));
                 }},
            }};
}

/// Delivers an event to a waiting operation, which is forgotten if that ends its wait.
void quota_gate::fire(quota_operation_number number, event what, instant now, std::uint64_t request, instant lapses_at)
{
    waiting_operation& operation = operations_.at(number);
    context each{.gate = *this, .operation = operation, .request = request, .lapses_at = lapses_at, .now = now};
    operation.state = program_->fire(operation.state, what, each).state;
    if (program_->is_final(operation.state)) {
        std::erase(tenants_.at(operation.tenant).waiting, number);
        operations_.erase(number);
    }
}

void quota_gate::decide(const waiting_operation& operation, const quota_admission& admission)
{
    options_.decided(operation.number, admission);
}

void quota_gate::configure(std::uint64_t version, const std::map<std::string, quota_limit>& limits, std::size_t daemons,
                           instant now)
{
    version_ = version;
    for (const auto& [name, limit] : limits) {
        const auto [found, added] = tenants_.try_emplace(name);
        tenant_state& tenant = found->second;
        if (added) {
            tenant.preferred = preferred_part(name, options_.daemon);
        }
        tenant.limit = limit;
        const quota_parts parts = divide_quota(limit, options_.rule, daemons);
        tenant.own.configure(parts->own_rate_per_s, parts->own_capacity, now);
    }
    std::vector<std::string> unlimited;
    for (const auto& [name, tenant] : tenants_) {
        if (!limits.contains(name)) {
            unlimited.push_back(name);
        }
    }
    for (const std::string& name : unlimited) {
        grant(tenants_.at(name), static_cast<std::uint32_t>(tenants_.at(name).waiting.size()), now, now);
        asking_.erase(name);
        tenants_.erase(name);
    }
}

quota_admission quota_gate::admit(const std::string& tenant, quota_operation_number operation, instant now)
{
    tenant_state& state = tenants_.at(tenant);
    state.demand.add(now);
    if (state.waiting.empty()) {
        auto lapses_at = take_granted(state, now);
        if (!lapses_at && state.own.take(1, now) > 0) {
            lapses_at = now; // The own part is not accounted by the lifetime of grants.
        }
        if (lapses_at) {
            ++state.admitted_total;
            if (wanted_ahead(state, now) > 0) {
                asking_.insert(tenant);
            }
            return quota_admission{{.lapses_at = *lapses_at}};
        }
    }
    const auto part = open_part(tenant, state, now);
    if (!part) {
        ++state.refused_total;
        return refusal(state, now);
    }
    operations_[operation] = {
        .number = operation, .state = program_->initial(), .tenant = tenant, .part = *part, .deadline = now + max_wait};
    state.waiting.push_back(operation);
    asking_.insert(tenant);
    urgent_ = true;
    return quota_admission{{.decision = quota_decision::waiting}};
}

bool quota_gate::cancel(quota_operation_number operation, instant now)
{
    if (!operations_.contains(operation)) {
        return false;
    }
    fire(operation, event::cancelled, now);
    return true;
}

/// Takes an operation that was granted ahead and has not lapsed. Returns when it would have lapsed; nothing if there is
/// none.
std::optional<instant> quota_gate::take_granted(tenant_state& tenant, instant now)
{
    while (!tenant.ahead.empty() && tenant.ahead.front().lapses_at <= now) {
        tenant.ahead.pop_front();
    }
    if (tenant.ahead.empty()) {
        return std::nullopt;
    }
    const instant lapses_at = tenant.ahead.front().lapses_at;
    if (--tenant.ahead.front().operations == 0) {
        tenant.ahead.pop_front();
    }
    return lapses_at;
}

void quota_gate::give_back(const std::string& tenant, const quota_admission& admission, instant now)
{
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end() || admission->lapses_at <= now) {
        return;
    }
    if (found->second.waiting.empty()) {
        found->second.ahead.push_front({.lapses_at = admission->lapses_at, .operations = 1});
    } else {
        grant(found->second, 1, admission->lapses_at, now);
    }
}

bool quota_gate::is_open(const std::string& name, const tenant_state& tenant, std::uint32_t part, instant now) const
{
    return now >= tenant.parts.at(part).closed_until && !options_.holder(quota_group(name, part)).empty();
}

/// The part to ask next; nothing if neither can be asked now.
std::optional<std::uint32_t> quota_gate::open_part(const std::string& name, const tenant_state& tenant,
                                                   instant now) const
{
    for (const std::uint32_t part : {tenant.preferred, other_part(tenant.preferred)}) {
        if (is_open(name, tenant, part, now)) {
            return part;
        }
    }
    return std::nullopt;
}

/// Refuses an operation until the first part is expected to have something.
quota_admission quota_gate::refusal(const tenant_state& tenant, instant now) const
{
    duration retry_after = duration::max();
    for (const part_state& part : tenant.parts) {
        const duration left = part.retry_at - now;
        retry_after = left > duration{} ? std::min(retry_after, left) : retry_after;
    }
    return quota_admission{{.decision = quota_decision::refused,
                            .retry_after = retry_after == duration::max() ? unreachable_retry_delay : retry_after}};
}

void quota_gate::handle(const quota_grant& grant, instant now)
{
    const auto found = requests_.find(grant->number);
    if (found == requests_.end()) {
        return;
    }
    const sent_request sent = std::move(found->second);
    requests_.erase(found);
    for (const quota_allowance& each : grant->allowances) {
        apply(sent, grant->number, each, now);
    }
}

void quota_gate::apply(const sent_request& sent, std::uint64_t number, const quota_allowance& allowance, instant now)
{
    const auto found = tenants_.find(allowance->tenant);
    const auto demand = std::find_if(sent.demands.begin(), sent.demands.end(), [&allowance](const quota_demand& each) {
        return each->tenant == allowance->tenant && each->part == allowance->part;
    });
    if (found == tenants_.end() || demand == sent.demands.end()) {
        return;
    }
    tenant_state& tenant = found->second;
    part_state& part = tenant.parts.at(allowance->part);
    part.requested -= std::min(part.requested, (*demand)->ahead);
    if (!allowance->held || allowance->retry_after > duration{}) {
        part.closed_until =
            now + (allowance->held ? std::clamp(allowance->retry_after, min_closed, max_closed) : max_closed);
        part.retry_at = std::max(now + allowance->retry_after, part.closed_until);
    }
    grant(tenant, allowance->granted, sent.sent_at + quota_grant_lifetime, now);
    decline(allowance->tenant, allowance->part, number, now);
}

/// Gives granted operations to those that wait, and keeps the others until they lapse.
void quota_gate::grant(tenant_state& tenant, std::uint32_t operations, instant lapses_at, instant now)
{
    while (operations > 0 && !tenant.waiting.empty()) {
        fire(tenant.waiting.front(), event::granted, now, 0, lapses_at);
        --operations;
    }
    if (operations > 0 && lapses_at > now) {
        tenant.ahead.push_back({.lapses_at = lapses_at, .operations = operations});
    }
}

/// Ends the hope of those operations that a request asked for, and that got no grant.
void quota_gate::decline(const std::string& tenant, std::uint32_t part, std::uint64_t request, instant now)
{
    std::vector<quota_operation_number> declined;
    for (const quota_operation_number each : tenants_.at(tenant).waiting) {
        const waiting_operation& operation = operations_.at(each);
        if (operation.request == request && operation.part == part) {
            declined.push_back(each);
        }
    }
    for (const quota_operation_number each : declined) {
        fire(each, event::declined, now);
    }
}

/// Treats a request as answered with nothing.
void quota_gate::give_up(std::uint64_t number, instant now)
{
    const sent_request sent = std::move(requests_.at(number));
    requests_.erase(number);
    for (const quota_demand& each : sent.demands) {
        const auto found = tenants_.find(each->tenant);
        if (found == tenants_.end()) {
            continue;
        }
        part_state& part = found->second.parts.at(each->part);
        part.requested -= std::min(part.requested, each->ahead);
        part.closed_until = now + max_closed;
        part.retry_at = part.closed_until;
        decline(each->tenant, each->part, number, now);
    }
}

void quota_gate::disconnected(const std::string& daemon, instant now)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [number, each] : requests_) {
        if (each.daemon == daemon) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        give_up(number, now);
    }
}

/// Operations to ask for ahead: those expected within the lifetime of a grant, less what is granted or asked for.
std::uint32_t quota_gate::wanted_ahead(tenant_state& tenant, instant now) const
{
    const double expected = tenant.demand.per_second(now) * std::chrono::duration<double>(quota_grant_lifetime).count();
    std::uint32_t present = 0;
    for (const granted_ahead& each : tenant.ahead) {
        present += each.lapses_at > now ? each.operations : 0;
    }
    for (const part_state& part : tenant.parts) {
        present += part.requested;
    }
    const auto target = static_cast<std::uint32_t>(std::min(expected, max_ahead));
    return target > present ? target - present : 0;
}

void quota_gate::flush(instant now)
{
    if (asking_.empty() || now < last_flush_ + (urgent_ ? urgent_interval : ahead_interval)) {
        return;
    }
    last_flush_ = now;
    urgent_ = false;
    std::map<std::string, std::vector<quota_demand>> demands; // By holder.
    for (const std::string& name : std::exchange(asking_, {})) {
        tenant_state& tenant = tenants_.at(name);
        std::array<std::uint32_t, quota_part_count> waiting{};
        for (const quota_operation_number each : tenant.waiting) {
            const waiting_operation& operation = operations_.at(each);
            waiting.at(operation.part) += program_->handles(operation.state, event::sent) ? 1 : 0;
        }
        const auto ahead_part = open_part(name, tenant, now);
        for (std::uint32_t part = 0; part < quota_part_count; ++part) {
            const std::uint32_t ahead = ahead_part == part ? wanted_ahead(tenant, now) : 0;
            if (waiting.at(part) + ahead > 0) {
                tenant.parts.at(part).requested += ahead;
                demands[options_.holder(quota_group(name, part))].push_back(
                    quota_demand{{.tenant = name,
                                  .part = part,
                                  .waiting = waiting.at(part),
                                  .ahead = ahead,
                                  .rate_per_s = tenant.limit->rate_per_s,
                                  .burst = tenant.limit->burst}});
            }
        }
    }
    for (auto& [daemon, list] : demands) {
        send_request(daemon, std::move(list), now);
    }
}

/// Sends a request to a holder. If the holder has been lost meanwhile, the request counts as declined.
void quota_gate::send_request(const std::string& daemon, std::vector<quota_demand> demands, instant now)
{
    const std::uint64_t number = ++options_.first_request;
    for (const quota_demand& each : demands) {
        const std::deque<quota_operation_number> waiting = tenants_.at(each->tenant).waiting;
        for (const quota_operation_number operation : waiting) {
            const waiting_operation& asked = operations_.at(operation);
            if (asked.part == each->part && program_->handles(asked.state, event::sent)) {
                fire(operation, event::sent, now, number);
            }
        }
    }
    requests_[number] = {.daemon = daemon, .sent_at = now, .demands = demands};
    if (daemon.empty()) {
        give_up(number, now);
        return;
    }
    ++requests_total_;
    options_.send(daemon, quota_request{{.number = number, .version = version_, .demands = std::move(demands)}});
}

void quota_gate::tick(instant now)
{
    while (!requests_.empty() && now >= requests_.begin()->second.sent_at + answer_timeout) {
        give_up(requests_.begin()->first, now);
    }
    std::vector<quota_operation_number> expired;
    for (const auto& [number, each] : operations_) {
        if (now >= each.deadline) {
            expired.push_back(number);
        }
    }
    for (const quota_operation_number each : expired) {
        fire(each, event::expired, now);
    }
    flush(now);
}

std::optional<instant> quota_gate::next() const
{
    std::optional<instant> due;
    const auto consider = [&due](instant at) {
        due = due ? std::min(*due, at) : at;
    };
    if (!asking_.empty()) {
        consider(last_flush_ + (urgent_ ? urgent_interval : ahead_interval));
    }
    if (!requests_.empty()) {
        consider(requests_.begin()->second.sent_at + answer_timeout);
    }
    if (!operations_.empty()) {
        consider(operations_.begin()->second.deadline); // Numbers grow, so this one has waited longest.
    }
    return due;
}

std::vector<gated_quota> quota_gate::quotas() const
{
    std::vector<gated_quota> list;
    for (const auto& [name, tenant] : tenants_) {
        list.push_back({.tenant = name,
                        .rate_per_s = tenant.limit->rate_per_s,
                        .burst = tenant.limit->burst,
                        .admitted_total = tenant.admitted_total,
                        .refused_total = tenant.refused_total,
                        .waiting = tenant.waiting.size()});
    }
    return list;
}

} // namespace citronfall
