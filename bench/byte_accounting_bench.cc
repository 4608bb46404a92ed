// Processor time that the accounting of bytes adds to an ordinary statement, beside thousands of open sessions.

#include "gateway/message_size.h"
#include "overload/byte_ledger.h"

#include <chrono>
#include <cstdio>
#include <string>

namespace {

using namespace citronfall;
using clock = std::chrono::steady_clock;

constexpr std::size_t sessions = 4000;
constexpr std::size_t statements = 2'000'000;
constexpr std::size_t limit = 64 * 1024 * 1024;

double nanoseconds_each(clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(clock::now() - start).count() / statements;
}

} // namespace

int main()
{
    const gateway_event event = caller_event{
        caller_statement{{.session = 1,
                          .request_id = "5c0e7a21d94b36f8",
                          .query = parsed_statement{{.verb = statement_verb::read, .text = std::string(300, 'x')}}}}};
    const caller_reply reply = statement_reply{{.session = 1, .rows = {std::string(300, 'x')}}};
    byte_ledger input(limit);
    byte_ledger output(limit);
    std::size_t sum = 0;
    const auto start = clock::now();
    for (std::size_t i = 0; i < statements; ++i) {
        const byte_ledger::holder session = i % sessions;
        const std::size_t bytes = size_of(event);
        input.set(session, bytes);
        sum += input.worst_offender().value_or(0);
        // Each ring weighs an element when it is added and when it is taken.
        sum += size_of(event) + size_of(event) + size_of(reply) + size_of(reply);
        input.set(session, 0);
        output.set(session, bytes);
        sum += output.worst_offender().value_or(0);
        output.set(session, 0);
    }
    std::printf("accounting of a statement: %.0f ns (checksum %zu)\n", nanoseconds_each(start), sum);
    return 0;
}
