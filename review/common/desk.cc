#include "desk.h"

#include "core/boot_clock.h"
#include "soak/soak_caller.h"

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace review {
namespace {

using namespace std::chrono_literals;
using citronfall::boot_now;
using citronfall::soak::recorded_operation;
using citronfall::soak::recorded_statement;
using citronfall::soak::recorded_verb;

constexpr auto start_limit = 2000ms;     ///< Time that a consumer waits for the answer to STARTUP.
constexpr auto time_limit = 1000ms;      ///< Time limit of a booking.
constexpr std::uint64_t slots = 2000;    ///< Things that may be booked.
constexpr pause_range between = {5, 40}; ///< Between two transactions.

} // namespace

std::vector<recorded_operation> desk::run(const std::atomic<bool>& stop)
{
    while (!stop) {
        client connection(address_);
        const auto started =
            connection.connected() ? connection.start("fresh", start_limit) : decltype(connection.start("", 0ms)){};
        ++session_;
        const bool usable = started.complete && !started.error_code;
        while (usable && !stop && !connection.has_unsolicited() && book(connection)) {
            pause(between);
        }
        pause(between);
    }
    return std::move(history_);
}

bool desk::book(client& connection)
{
    recorded_operation operation{.session = (std::hash<std::string>{}(name_) << 20U) + session_, .transaction = true};
    bool fine = execute(connection, operation, recorded_verb::begin, "BEGIN");
    for (int i = 0; fine && i < 2; ++i) {
        const std::string item = "slot-" + std::to_string(i) + "-" + std::to_string(random_() % slots);
        fine = execute(connection, operation, recorded_verb::write, "WRITE " + item, item);
        if (fine) {
            pause(pauses_);
        }
    }
    if (fine) {
        fine = execute(connection, operation, recorded_verb::commit, "COMMIT");
    }
    history_.push_back(std::move(operation));
    return fine;
}

bool desk::execute(client& connection, recorded_operation& operation, recorded_verb kind, std::string text,
                   const std::string& item)
{
    recorded_statement statement{
        .request_id = name_ + "-" + std::to_string(++last_request_), .kind = kind, .item = item};
    if (kind == recorded_verb::write) {
        statement.value = statement.request_id;
        text += " " + statement.value;
    }
    statement.sent_at = boot_now();
    citronfall::soak::record_answer(statement, connection.execute(statement.request_id, text, time_limit));
    const bool succeeded = statement.succeeded();
    operation.statements.push_back(std::move(statement));
    return succeeded;
}

void desk::pause(pause_range range)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(range.least + random_() % (range.most - range.least)));
}

} // namespace review
