#include "load/load_simulation.h"

#include "admission/admission_control.h"
#include "load/virtual_time.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

namespace citronfall::load {
namespace {

const member_key member{{.group = "g", .member = "a"}};

/// Simulation of a proxy in front of one member, which has slots and a queue of its own.
class load_simulation {
public:
    explicit load_simulation(const load_simulation_options& options)
        : options_(options), random_(options.seed), rules_(config()),
          admission_({.config = [this]() -> const operator_config& { return rules_; },
                      .connections =
                          [this](const member_key&) {
                              return options_.connections;
                          }})
    {
    }

    std::map<std::string, load_simulation_result> run()
    {
        start_ = time_.now();
        arrive();
        const duration drain = std::chrono::seconds(60);
        time_.run_until(start_ + options_.length + drain);
        return std::move(results_);
    }

private:
    struct request_state {
        const load_class* kind = nullptr;
        instant arrived;
        duration service{};
        bool counted = false;
        bool running = false;
        bool completed = false; ///< The request is answered or its deadline has passed.
    };

    [[nodiscard]] operator_config config() const
    {
        operator_config_fields fields;
        fields.groups["g"] = group_config{
            {.name = "g", .connections_per_member = options_.connections, .slots_per_member = options_.slots}};
        fields.tenants["t"] = tenant_config{{.name = "t", .in_flight = 1'000'000}};
        for (const load_class& each : options_.classes) {
            fields.classes["t"][each.name] =
                class_config{{.tenant = "t",
                              .name = each.name,
                              .cost = each.declared_long ? cost_class::long_request : cost_class::short_request,
                              .weight = each.weight,
                              .in_flight = 1'000'000}};
        }
        fields.limits = with(fields.limits, [](limits_config_fields& limits) { limits.queue_length = 1'000'000; });
        return operator_config{std::move(fields)};
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    /// Schedules the next arrival. All classes together are one Poisson process; each gets its share of the offered
    /// running time.
    void arrive()
    {
        const duration since = time_.now() - start_;
        if (since >= options_.length) {
            return;
        }
        double rate = 0;
        std::vector<double> rates;
        const double demand = options_.demand(since) * options_.slots;
        double shares = 0;
        for (const load_class& each : options_.classes) {
            shares += each.share;
        }
        for (const load_class& each : options_.classes) {
            rates.push_back(demand * each.share / shares / std::chrono::duration<double>(each.service).count());
            rate += rates.back();
        }
        double pick = uniform() * rate;
        std::size_t index = 0;
        while (index + 1 < rates.size() && pick >= rates[index]) {
            pick -= rates[index++];
        }
        const double gap = -std::log(1 - uniform()) / rate;
        time_.after(duration(static_cast<duration::rep>(gap * 1e6) + 1), [this, index] {
            offer(options_.classes[index]);
            arrive();
        });
    }

    void offer(const load_class& kind)
    {
        const request_handle handle = ++last_;
        const instant now = time_.now();
        const bool counted = now - start_ >= options_.measure_from && now - start_ < options_.length;
        const auto service =
            duration(static_cast<duration::rep>(static_cast<double>(kind.service.count()) * (0.5 + uniform())));
        load_simulation_result& result = results_[kind.name];
        result.offered += counted ? 1 : 0;
        if (options_.naive) {
            fifo_.push_back(handle);
        } else {
            const caller_request request{{.handle = handle,
                                          .tenant = "t",
                                          .class_name = kind.name,
                                          .group = "g",
                                          .deadline = now + kind.deadline}};
            if (admission_.admit(request, member, now)) {
                result.refused += counted ? 1 : 0;
                return;
            }
            admission_.enqueue(request, member, now);
        }
        requests_[handle] = request_state{.kind = &kind, .arrived = now, .service = service, .counted = counted};
        time_.after(kind.deadline, [this, handle] { expire(handle); });
        pump();
    }

    /// At its deadline a request is answered without a result. If its statement is running, the connection is closed.
    void expire(request_handle handle)
    {
        request_state& request = requests_.at(handle);
        if (request.completed) {
            return;
        }
        request.completed = true;
        count(request, false);
        if (options_.naive) {
            return; // The naive proxy ignores deadlines and still sends the statement.
        }
        admission_.ended(handle, time_.now());
        if (request.running) {
            --open_;
        }
        pump();
    }

    void count(const request_state& request, bool in_time)
    {
        if (!request.counted) {
            return;
        }
        load_simulation_result& result = results_[request.kind->name];
        result.in_time += in_time ? 1 : 0;
        result.late += in_time ? 0 : 1;
        result.latency.record(time_.now() - request.arrived);
    }

    [[nodiscard]] std::size_t ready() const
    {
        return options_.naive ? fifo_.size() : admission_.ready(member, time_.now());
    }

    void pump()
    {
        while (const std::size_t waiting = ready()) {
            if (idle_ == 0) {
                while (open_ < options_.connections && opening_ < waiting) {
                    ++open_;
                    ++opening_;
                    time_.after(options_.connect_time, [this] {
                        --opening_;
                        ++idle_;
                        pump();
                    });
                }
                return;
            }
            request_handle next = 0;
            if (options_.naive) {
                next = fifo_.front();
                fifo_.pop_front();
            } else {
                const auto taken = admission_.take(member, time_.now());
                if (!taken) {
                    return;
                }
                next = *taken;
            }
            --idle_;
            requests_.at(next).running = true;
            time_.after(options_.member_one_way_delay, [this, next] {
                member_queue_.push_back(next);
                serve();
            });
        }
    }

    void serve()
    {
        while (busy_ < options_.slots && !member_queue_.empty()) {
            const request_handle handle = member_queue_.front();
            member_queue_.pop_front();
            ++busy_;
            time_.after(requests_.at(handle).service, [this, handle] {
                --busy_;
                time_.after(options_.member_one_way_delay, [this, handle] { answered(handle); });
                serve();
            });
        }
    }

    void answered(request_handle handle)
    {
        request_state& request = requests_.at(handle);
        const bool in_time = !request.completed;
        if (in_time) {
            request.completed = true;
            count(request, true);
            const duration since = time_.now() - start_;
            if (since >= options_.measure_from && since < options_.length) {
                results_[request.kind->name].served += request.service;
            }
            if (!options_.naive) {
                admission_.finished(handle, time_.now());
                admission_.ended(handle, time_.now());
            }
        }
        if (in_time || options_.naive) {
            ++idle_;
        }
        pump();
    }

    const load_simulation_options& options_;
    std::mt19937_64 random_;
    virtual_time time_;
    instant start_;
    operator_config rules_;
    admission_control admission_;
    std::map<request_handle, request_state> requests_;
    std::map<std::string, load_simulation_result> results_;
    std::deque<request_handle> fifo_;
    std::deque<request_handle> member_queue_;
    request_handle last_ = 0;
    std::uint32_t open_ = 0;
    std::uint32_t opening_ = 0;
    std::uint32_t idle_ = 0;
    std::uint32_t busy_ = 0;
};

} // namespace

std::map<std::string, load_simulation_result> simulate_load(const load_simulation_options& options)
{
    return load_simulation(options).run();
}

double goodput(const std::map<std::string, load_simulation_result>& results, std::uint32_t slots, duration length)
{
    duration served{};
    for (const auto& [name, result] : results) {
        served += result.served;
    }
    return static_cast<double>(served.count()) / (static_cast<double>(length.count()) * slots);
}

} // namespace citronfall::load
