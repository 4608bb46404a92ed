// Processor time that the decisions of one daemon take, by the number of daemons in the fleet: at rest, for each
// statement of its own callers and for each statement that others relay to it. Virtual time, 20 services with 131
// connections a member.

#include "support/single_gateway.h"

#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

constexpr std::size_t statements = 4000;
constexpr duration statement_interval = 20ms;
constexpr duration idle_time = 60s;

/// Processor seconds of this thread that an action takes.
double processor_seconds(const std::function<void()>& action)
{
    const auto now = [] {
        timespec at{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
        return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
    };
    const double start = now();
    action();
    return now() - start;
}

/// Processor microseconds for each of the statements that an action runs, less those of the idle daemon meanwhile.
double microseconds_each(const std::function<void()>& action, double idle_share)
{
    const double busy = processor_seconds(action);
    const double length = std::chrono::duration<double>(statement_interval * static_cast<int>(statements)).count();
    return (busy - idle_share * length) / static_cast<double>(statements) * 1e6;
}

void measure(std::size_t daemons)
{
    single_gateway gateway({.daemons = daemons});
    const std::size_t ticks_before = gateway.ticks();
    const double idle =
        processor_seconds([&] { gateway.run(idle_time); }) / std::chrono::duration<double>(idle_time).count();
    const double ticks =
        static_cast<double>(gateway.ticks() - ticks_before) / std::chrono::duration<double>(idle_time).count();
    const double own = microseconds_each([&] { gateway.run_own_statements(statements, statement_interval); }, idle);
    const double relayed =
        microseconds_each([&] { gateway.run_relayed_statements(statements, statement_interval); }, idle);
    std::cout << std::setw(7) << daemons << std::fixed << std::setprecision(3) << std::setw(12) << idle * 100
              << std::setprecision(1) << std::setw(10) << ticks << std::setw(12) << own << std::setw(16) << relayed
              << std::setw(8) << gateway.peers().size() << std::setw(10) << gateway.failures() << '\n';
}

} // namespace

int main()
{
    std::cout << "daemons  idle, % of core  ticks/s  own, us each  relayed here, us each  peers  failures\n";
    for (const std::size_t daemons : {30, 100, 300, 1000}) {
        measure(daemons);
    }
    return 0;
}
