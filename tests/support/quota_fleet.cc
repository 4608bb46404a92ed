#include "support/quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronfall::testing {
namespace {

using namespace std::chrono_literals;

constexpr duration link_delay = 1500us;
constexpr duration message_cost = 200us; ///< Processor time of a small instance for one message.
constexpr duration tick_interval = 5ms;
constexpr duration lock_listing_time = 1s;

} // namespace

quota_fleet::quota_fleet(std::size_t daemons, std::uint64_t seed) : time_(seed), daemons_(daemons)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        daemons_[i].name = "daemon-" + std::to_string(i);
        start(i, daemons);
    }
    for (std::uint32_t group = 0; group < quota_group_count; ++group) {
        give_lock(group, group % daemons);
    }
    time_.after(tick_interval, [this] { tick_all(); });
}

void quota_fleet::configure(const std::map<std::string, quota_limit>& limits, duration longest_delay)
{
    ++version_;
    limits_ = limits;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const duration delay(longest_delay > duration{} ? time_.draw(static_cast<std::uint64_t>(longest_delay.count()))
                                                        : 0);
        time_.after(delay, [this, i, version = version_, limits] {
            daemon_state& daemon = daemons_[i];
            if (daemon.version < version) {
                daemon.version = version;
                daemon.limits = limits;
                apply_configuration(daemon);
            }
        });
    }
}

void quota_fleet::apply_configuration(daemon_state& daemon)
{
    daemon.known.listed(daemon.listed, time_.now());
    daemon.applied_count = daemon.known.value(time_.now());
    if (daemon.alive) {
        daemon.gate->configure(daemon.version, daemon.limits, daemon.applied_count, time_.now());
        daemon.quota->configure(daemon.version, daemon.limits, time_.now());
    }
}

void quota_fleet::give_lock(std::uint32_t group, std::size_t daemon)
{
    locks_[group] = {daemon, ++last_token_};
    daemons_[daemon].holders[group] = daemon;
    hold_locks(daemon);
    for (daemon_state& each : daemons_) {
        time_.after(duration(time_.draw(static_cast<std::uint64_t>(lock_listing_time.count()))),
                    [&each, group, daemon] { each.holders[group] = daemon; });
    }
}

void quota_fleet::take_lock(std::uint32_t group)
{
    const std::size_t daemon = locks_.at(group).first;
    locks_.erase(group);
    hold_locks(daemon);
    for (daemon_state& each : daemons_) {
        time_.after(duration(time_.draw(static_cast<std::uint64_t>(lock_listing_time.count()))),
                    [&each, group, daemon] {
                        if (each.holders.contains(group) && each.holders.at(group) == daemon) {
                            each.holders.erase(group);
                        }
                    });
    }
}

std::optional<std::size_t> quota_fleet::holder(std::uint32_t group) const
{
    const auto found = locks_.find(group);
    return found == locks_.end() ? std::nullopt : std::optional(found->second.first);
}

void quota_fleet::hold_locks(std::size_t daemon)
{
    if (!daemons_[daemon].alive) {
        return;
    }
    std::map<std::uint32_t, std::uint64_t> held;
    for (const auto& [group, lock] : locks_) {
        if (lock.first == daemon) {
            held[group] = lock.second;
        }
    }
    daemons_[daemon].quota->hold(held, time_.now());
}

void quota_fleet::kill(std::size_t daemon)
{
    daemons_[daemon].alive = false;
    ++daemons_[daemon].run;
    for (daemon_state& each : daemons_) {
        if (each.alive) {
            each.gate->disconnected(daemons_[daemon].name, time_.now());
        }
    }
}

void quota_fleet::start(std::size_t daemon, std::size_t listed)
{
    daemon_state& state = daemons_[daemon];
    ++state.run;
    state.alive = true;
    state.known = daemon_count{};
    state.listed = listed;
    auto gate =
        quota_gate::make({.daemon = state.name,
                          .rule = rule_,
                          .first_request = state.run << 32U,
                          .holder =
                              [this, daemon](std::uint32_t group) {
                                  const auto found = daemons_[daemon].holders.find(group);
                                  const bool usable = found != daemons_[daemon].holders.end() &&
                                                      daemons_[found->second].alive && linked(daemon, found->second);
                                  return usable ? daemons_[found->second].name : std::string{};
                              },
                          .send =
                              [this, daemon](const std::string& to, const quota_request& request) {
                                  const auto index = static_cast<std::size_t>(std::stoul(to.substr(to.find('-') + 1)));
                                  deliver(daemon, index, [this, daemon, index, request](daemon_state& holder) {
                                      const quota_grant grant = holder.quota->answer(request, time_.now());
                                      deliver(index, daemon, [this, grant](daemon_state& asking) {
                                          asking.gate->handle(grant, time_.now());
                                          asking.gate->flush(time_.now());
                                      });
                                  });
                              },
                          .decided =
                              [this](quota_operation_number operation, const quota_admission& admission) {
                                  decided(operation, admission);
                              }});
    state.gate = take(std::move(gate));
    state.quota = std::make_unique<quota_holder>(
        quota_holder_options{.rule = rule_, .log = [](const std::string&, const std::string&) {
                             }});
    apply_configuration(state);
}

void quota_fleet::list(std::size_t daemon, std::size_t listed)
{
    daemons_[daemon].listed = listed;
    apply_configuration(daemons_[daemon]);
}

/// Passes a message on. It is lost if the link is cut or the receiver's process ends meanwhile.
void quota_fleet::deliver(std::size_t from, std::size_t to, std::function<void(daemon_state&)> handle)
{
    const std::uint64_t run = daemons_[to].run;
    const instant arrival = time_.now() + (from == to ? duration{} : time_.vary(link_delay));
    time_.at(arrival, [this, from, to, run, handle = std::move(handle)] {
        daemon_state& receiver = daemons_[to];
        receiver.busy_until = std::max(receiver.busy_until, time_.now()) + message_cost;
        time_.at(receiver.busy_until, [this, from, to, run, handle] {
            if (daemons_[to].run == run && daemons_[to].alive && linked(from, to)) {
                handle(daemons_[to]);
            }
        });
    });
}

void quota_fleet::offer(const tenant_load& load, instant end)
{
    const double rate = load.rate_per_s(time_.now());
    const double u = static_cast<double>(time_.draw(1'000'000) + 1) / 1'000'000;
    const duration gap(static_cast<duration::rep>(-std::log(u) / rate * 1e6) + 1);
    if (time_.now() + gap < end) {
        time_.after(gap, [this, load, end] { arrive(load, end); });
    }
}

void quota_fleet::arrive(const tenant_load& load, instant end)
{
    daemon_state& daemon = daemons_[load.choose_daemon(time_)];
    if (daemon.alive && daemon.gate->limits(load.tenant)) {
        const quota_operation_number operation = ++last_operation_;
        records_[load.tenant].asked.push_back(time_.now());
        waiting_[operation] = {.tenant = load.tenant, .since = time_.now()};
        const quota_admission admission = daemon.gate->admit(load.tenant, operation, time_.now());
        if (admission->decision != quota_decision::waiting) {
            decided(operation, admission);
        }
        daemon.gate->flush(time_.now());
    }
    offer(load, end);
}

void quota_fleet::decided(quota_operation_number operation, const quota_admission& admission)
{
    const waiting ended = waiting_.at(operation);
    waiting_.erase(operation);
    tenant_record& record = records_[ended.tenant];
    if (admission->decision == quota_decision::refused) {
        record.refused.push_back(time_.now());
        return;
    }
    record.admitted.push_back(time_.now());
    record.waits.push_back(time_.now() - ended.since);
}

void quota_fleet::tick_all()
{
    for (daemon_state& each : daemons_) {
        if (!each.alive) {
            continue;
        }
        each.known.listed(each.listed, time_.now());
        if (each.known.value(time_.now()) != each.applied_count) {
            apply_configuration(each);
        }
        if (const auto due = each.gate->next(); due && *due <= time_.now()) {
            each.gate->tick(time_.now());
        }
    }
    time_.after(tick_interval, [this] { tick_all(); });
}

void quota_fleet::run_until(instant end)
{
    time_.run_until(end);
}

std::size_t quota_fleet::busiest_window(const std::string& tenant, instant from) const
{
    const auto found = records_.find(tenant);
    if (found == records_.end()) {
        return 0;
    }
    const std::vector<instant>& admitted = found->second.admitted;
    std::size_t most = 0;
    std::size_t end = 0;
    for (std::size_t begin = 0; begin < admitted.size(); ++begin) {
        if (admitted[begin] < from) {
            continue;
        }
        end = std::max(end, begin);
        while (end < admitted.size() && admitted[end] <= admitted[begin] + rule_->window) {
            ++end;
        }
        most = std::max(most, end - begin);
    }
    return most;
}

double quota_fleet::allowed(const quota_limit& limit) const
{
    const double window_s = std::chrono::duration<double>(rule_->window).count();
    return (limit->rate_per_s * window_s + limit->burst) * (1 + rule_->overage) + rule_->slack;
}

} // namespace citronfall::testing
