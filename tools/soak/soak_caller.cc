#include "soak/soak_caller.h"

#include "core/boot_clock.h"

#include <functional>
#include <thread>

namespace citronfall::soak {
namespace {

using std::chrono::milliseconds;

/// Timeout of an answer; longer than the statement timeouts of all routes.
constexpr milliseconds answer_bound{3000};

constexpr std::uint64_t items = 12;
constexpr std::uint64_t longest_session = 30; ///< Operations of one session.
constexpr std::uint64_t percent = 100;

std::string text_of(const recorded_statement& statement)
{
    switch (statement.kind) {
    case asked_kind::begin:
        return "BEGIN";
    case asked_kind::read:
        return "READ " + statement.item;
    case asked_kind::write:
        return "WRITE " + statement.item + " " + statement.value;
    case asked_kind::commit:
        return "COMMIT";
    case asked_kind::rollback:
        return "ROLLBACK";
    case asked_kind::set:
        break;
    }
    return "SET " + statement.item + " " + statement.value;
}

} // namespace

std::vector<recorded_operation> soak_caller::run(const std::atomic<bool>& stop)
{
    while (!stop) {
        run_session(stop);
        pause(40);
    }
    return std::move(history_);
}

void soak_caller::run_session(const std::atomic<bool>& stop)
{
    const std::size_t daemon = below(options_.daemons.size());
    const auto& [database, consistency] = options_.databases[below(options_.databases.size())];
    client connection(options_.daemons[daemon]);
    const auto started = connection.start(database, answer_bound);
    if (!started.whole || started.error_code) {
        return;
    }
    values_.clear();
    const recorded_operation empty{
        .session = (options_.seed << 32U) + ++last_session_, .daemon = daemon, .consistency = consistency};
    if (below(3) == 0 && !set_values(connection)) {
        return;
    }
    for (std::uint64_t left = 1 + below(longest_session); left > 0 && !stop; --left) {
        if (!run_operation(connection, empty)) {
            return;
        }
        pause(below(percent) < 3 ? 2000 : 20);
    }
    connection.terminate();
}

bool soak_caller::set_values(client& connection)
{
    recorded_operation operation;
    const bool set = execute(connection, operation, asked_kind::set);
    if (set) {
        values_[operation.statements.back().item] = operation.statements.back().value;
    }
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
        static_cast<void>(execute(connection, operation, choice < 50 ? asked_kind::write : asked_kind::read));
        usable = operation.statements.back().answered_at.has_value();
    }
    history_.push_back(std::move(operation));
    return usable;
}

bool soak_caller::run_transaction(client& connection, recorded_operation& operation)
{
    bool fine = execute(connection, operation, asked_kind::begin);
    for (std::uint64_t left = 1 + below(4); fine && left > 0; --left) {
        fine = execute(connection, operation, below(2) == 0 ? asked_kind::write : asked_kind::read);
        pause(10);
    }
    const std::uint64_t choice = below(percent);
    if (fine && choice < 5) {
        return false; // Disconnects during the transaction.
    }
    if (operation.statements.back().answered_at) {
        static_cast<void>(
            execute(connection, operation, fine && choice < 85 ? asked_kind::commit : asked_kind::rollback));
    }
    return operation.statements.back().answered_at.has_value() && operation.statements.back().succeeded();
}

/// Returns whether the statement succeeded.
bool soak_caller::execute(client& connection, recorded_operation& operation, asked_kind kind)
{
    recorded_statement statement{
        .request_id = options_.name + "-" + std::to_string(++last_request_), .kind = kind, .values = values_};
    // The items of one transaction differ, so that each of its values can be found in the log.
    statement.item = "item-" + std::to_string((below(items) * 8) + operation.statements.size() % 8);
    statement.value = statement.request_id;
    statement.sent_at = boot_now();
    const auto answer = connection.execute(statement.request_id, text_of(statement), answer_bound);
    if (answer.whole) {
        statement.answered_at = boot_now();
        statement.error_code = answer.error_code;
        statement.promises_no_effect = answer.promises_no_effect;
        statement.rows = answer.rows;
        statement.receipt = answer.receipt;
    }
    const bool succeeded = statement.succeeded();
    operation.statements.push_back(std::move(statement));
    return succeeded;
}

void soak_caller::pause(std::uint64_t longest_ms)
{
    std::this_thread::sleep_for(milliseconds(below(longest_ms + 1)));
}

} // namespace citronfall::soak
