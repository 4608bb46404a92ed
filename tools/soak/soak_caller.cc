#include "soak/soak_caller.h"

#include "core/boot_clock.h"

#include <functional>
#include <thread>

namespace citronfall::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t items = 12;
constexpr std::uint64_t percent = 100;

std::string text_of(const recorded_statement& statement)
{
    switch (statement.kind) {
    case recorded_verb::start:
    case recorded_verb::begin:
        return "BEGIN";
    case recorded_verb::read:
        return "READ " + statement.item;
    case recorded_verb::write:
        return "WRITE " + statement.item + " " + statement.value;
    case recorded_verb::commit:
        return "COMMIT";
    case recorded_verb::rollback:
        return "ROLLBACK";
    case recorded_verb::set:
        break;
    }
    return "SET " + statement.item + " " + statement.value;
}

} // namespace

void record_answer(recorded_statement& statement, const platform::standin::received_answer& answer)
{
    statement.ended_at = boot_now();
    statement.end = answer.end;
    statement.error_code = answer.error_code;
    statement.promises_no_effect = answer.promises_no_effect;
    if (answer.complete) {
        statement.answered_at = statement.ended_at;
        statement.rows = answer.rows;
        statement.receipt = answer.receipt;
    }
}

std::vector<recorded_operation> soak_caller::run(const std::atomic<bool>& stop)
{
    while (!stop) {
        run_session(stop);
        pause(milliseconds(40));
    }
    return std::move(history_);
}

void soak_caller::run_session(const std::atomic<bool>& stop)
{
    const std::size_t daemon = below(options_.daemons.size());
    const auto& [database, consistency] = options_.databases[below(options_.databases.size())];
    client connection(options_.daemons[daemon]);
    if (!connection.connected() || !start(connection, database, daemon)) {
        return;
    }
    values_.clear();
    const recorded_operation empty{
        .session = (options_.seed << 32U) + ++last_session_, .daemon = daemon, .consistency = consistency};
    if (below(3) == 0 && (told_to_leave(connection) || !set_values(connection, empty))) {
        return;
    }
    for (std::uint64_t left = 1 + below(options_.habits.longest_session); left > 0 && !stop; --left) {
        if (told_to_leave(connection) || !run_operation(connection, empty)) {
            return;
        }
        pause(below(percent) < 3 ? milliseconds(2000) : options_.habits.longest_pause);
    }
    connection.terminate();
}

/// Returns whether the session was accepted.
bool soak_caller::start(client& connection, const std::string& database, std::size_t daemon)
{
    recorded_statement statement{.request_id = options_.name + "-start-" + std::to_string(last_session_ + 1),
                                 .kind = recorded_verb::start,
                                 .sent_at = boot_now()};
    const auto answer = connection.start(database, options_.habits.answer_timeout);
    record_answer(statement, answer);
    const bool accepted = statement.succeeded();
    history_.push_back({.daemon = daemon, .statements = {std::move(statement)}});
    return accepted;
}

bool soak_caller::set_values(client& connection, recorded_operation operation)
{
    const bool set = execute(connection, operation, recorded_verb::set);
    if (set) {
        values_[operation.statements.back().item] = operation.statements.back().value;
    }
    history_.push_back(std::move(operation));
    return set;
}

/// Returns whether the session can be used further.
bool soak_caller::run_operation(client& connection, recorded_operation operation)
{
    const std::uint64_t choice = below(percent);
    bool usable = true;
    if (choice < 25) {
        operation.transaction = true;
        usable = run_transaction(connection, operation);
    } else {
        static_cast<void>(execute(connection, operation, choice < 50 ? recorded_verb::write : recorded_verb::read));
        usable = operation.statements.back().answered_at.has_value();
    }
    history_.push_back(std::move(operation));
    return usable;
}

bool soak_caller::run_transaction(client& connection, recorded_operation& operation)
{
    bool succeeded_so_far = execute(connection, operation, recorded_verb::begin);
    for (std::uint64_t left = 1 + below(4); succeeded_so_far && left > 0; --left) {
        if (told_to_leave(connection)) {
            return false;
        }
        succeeded_so_far = execute(connection, operation, below(2) == 0 ? recorded_verb::write : recorded_verb::read);
        pause(options_.habits.longest_transaction_pause);
    }
    const std::uint64_t choice = below(percent);
    const bool disconnects = succeeded_so_far && choice < 5;
    if (disconnects || told_to_leave(connection)) {
        return false;
    }
    if (operation.statements.back().answered_at) {
        static_cast<void>(execute(connection, operation,
                                  succeeded_so_far && choice < 85 ? recorded_verb::commit : recorded_verb::rollback));
    }
    return operation.statements.back().answered_at.has_value() && operation.statements.back().succeeded();
}

/// Whether the daemon has announced or made the end of the session before the next statement.
bool soak_caller::told_to_leave(const client& connection)
{
    const bool told = connection.has_unsolicited();
    if (!told) {
        pause(options_.habits.longest_notice_delay);
    }
    return told;
}

/// Returns whether the statement succeeded.
bool soak_caller::execute(client& connection, recorded_operation& operation, recorded_verb kind)
{
    recorded_statement statement{
        .request_id = options_.name + "-" + std::to_string(++last_request_), .kind = kind, .values = values_};
    // The items of one transaction differ, so that each of its values can be found in the log.
    statement.item = "item-" + std::to_string((below(items) * 8) + operation.statements.size() % 8);
    statement.value = statement.request_id;
    statement.sent_at = boot_now();
    const milliseconds delay = reading_delay();
    statement.reading_delay = delay;
    record_answer(statement,
                  connection.execute(statement.request_id, text_of(statement), options_.habits.answer_timeout, delay));
    const bool succeeded = statement.succeeded();
    operation.statements.push_back(std::move(statement));
    return succeeded;
}

milliseconds soak_caller::reading_delay()
{
    const auto longest = static_cast<std::uint64_t>(options_.habits.longest_reading_delay.count());
    return longest > 0 && below(4) == 0 ? milliseconds(below(longest)) : milliseconds{};
}

void soak_caller::pause(milliseconds longest)
{
    std::this_thread::sleep_for(milliseconds(below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

} // namespace citronfall::soak
