#include "support/virtual_platform.h"

namespace citronfall::testing {

void virtual_platform::call(const platform_call& call, const notify_hook& notify)
{
    ++calls_;
    const auto lost = [this, call, notify] {
        time_.at(call->deadline, [call, notify] {
            notify(platform_event{{.number = call->number, .failure = error_kind::outcome_unknown}});
        });
    };
    if (outage_) {
        lost();
        return;
    }
    time_.after(time_.vary(latency_), [this, call, notify, lost] {
        const platform_event event = execute_call(call);
        const duration back = time_.vary(latency_);
        const bool write = call->operation == platform_operation::compare_and_swap;
        if (write && !event->failure && answers_to_lose_ > 0) {
            --answers_to_lose_;
            lost();
        } else if (outage_ || time_.now() + back > call->deadline) {
            lost();
        } else {
            time_.after(back, [notify, event] { notify(event); });
        }
    });
}

platform_event virtual_platform::execute_call(const platform_call& call)
{
    switch (call->operation) {
    case platform_operation::read:
        return platform_event{{.number = call->number, .entry = model_.read(call->key)}};
    case platform_operation::compare_and_swap: {
        const auto written = model_.compare_and_swap(call->key, call->expected, call->value);
        return written ? platform_event{{.number = call->number, .entry = *written}}
                       : platform_event{{.number = call->number, .failure = error_kind::conflict}};
    }
    case platform_operation::instances:
        return platform_event{{.number = call->number}};
    case platform_operation::lease:
        break;
    }
    return platform_event{
        {.number = call->number, .lease_held = model_.lease(call->key, call->holder, call->ttl, time_.now())}};
}

} // namespace citronfall::testing
