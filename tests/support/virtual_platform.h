#pragma once

#include "citronfall/platform_call.h"
#include "citronfall/platform_event.h"
#include "standin/platform_model.h"
#include "support/virtual_time.h"

#include <functional>

namespace citronfall::testing {

/// The platform's key-value service in simulated time. Takes the place of the platform thread.
class virtual_platform {
public:
    using notify_hook = std::function<void(const platform_event&)>;

    virtual_platform(virtual_time& time, duration latency) : time_(time), latency_(latency) {}

    /// Carries out a call of a daemon. Instants in the call are simulated time, not the daemon's clock.
    void call(const platform_call& call, const notify_hook& notify);

    /// Starts or ends an outage. During an outage, calls time out without effect.
    void outage(bool on) { outage_ = on; }

    /// Sets the mean one-way latency.
    void latency(duration value) { latency_ = value; }

    /// Makes the next `count` writes take effect without an answer.
    void lose_answers(unsigned count) { answers_to_lose_ = count; }

    /// The stored values.
    [[nodiscard]] standin::platform_model& model() { return model_; }

    /// Number of calls received.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    [[nodiscard]] platform_event execute_call(const platform_call& call);

    virtual_time& time_;
    duration latency_;
    standin::platform_model model_;
    bool outage_ = false;
    unsigned answers_to_lose_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace citronfall::testing
