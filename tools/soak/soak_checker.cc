#include "soak/soak_checker.h"

#include "soak/cut_check.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace citronfall::soak {
namespace {

using standin::log_entry;
using standin::statement_run;

/// An acknowledged commit whose entry is still in the log.
struct acknowledged {
    instant at{};
    log_position position;
    std::uint64_t session = 0;
};

class history_check {
public:
    history_check(const std::vector<recorded_operation>& history, const standin::service_model& service,
                  duration max_staleness)
        : history_(history), max_staleness_(max_staleness), keeps_commits_(service.sync_replicas() > 0)
    {
        for (const log_entry& each : service.log()) {
            for (const auto& [item, value] : each.changes) {
                entries_[value].push_back(&each);
            }
        }
        for (const statement_run& each : service.runs()) {
            runs_by_receipt_[each.receipt] = &each;
        }
    }

    std::vector<std::string> run()
    {
        collect_commits();
        for (const recorded_operation& each : history_) {
            check_writes(each);
            check_reads(each);
            check_connection(each);
        }
        check_values_of_others();
        check_shared_transactions();
        return std::move(violations_);
    }

private:
    void add_violation(const char* rule, const recorded_statement& statement, const std::string& detail = {})
    {
        violations_.push_back(std::string(rule) + ": " + statement.request_id + " " + statement.item + " " + detail);
    }

    /// The statement that commits an operation, if the caller sent it.
    static const recorded_statement* commit_statement(const recorded_operation& operation)
    {
        const auto wanted = operation.transaction ? recorded_verb::commit : recorded_verb::write;
        for (const recorded_statement& each : operation.statements) {
            if (each.kind == wanted) {
                return &each;
            }
        }
        return nullptr;
    }

    void collect_commits()
    {
        for (const recorded_operation& operation : history_) {
            const recorded_statement* last = commit_statement(operation);
            if (last == nullptr || !last->succeeded()) {
                continue;
            }
            for (const recorded_statement& each : operation.statements) {
                const auto found = entries_.find(each.value);
                if (each.kind == recorded_verb::write && found != entries_.end() &&
                    !found->second.front()->rolled_back) {
                    commits_.push_back({.at = *last->answered_at,
                                        .position = found->second.front()->position,
                                        .session = operation.session});
                }
            }
        }
    }

    void check_writes(const recorded_operation& operation)
    {
        const recorded_statement* last = commit_statement(operation);
        for (const recorded_statement& each : operation.statements) {
            if (each.kind != recorded_verb::write) {
                continue;
            }
            sent_values_.insert(each.value);
            const auto found = entries_.find(each.value);
            const std::size_t logged = found == entries_.end() ? 0 : found->second.size();
            if (logged > 1) {
                add_violation("doubled", each);
            }
            if (logged > 0 && last == nullptr) {
                add_violation("not_asked_for", each, "no commit was sent");
            }
            if (logged > 0 && last != nullptr && last->promises_no_effect) {
                add_violation("kept_though_refused", each, *last->error_code);
            }
            const bool acknowledged_commit = last != nullptr && last->succeeded() && each.succeeded();
            if (logged == 0 && acknowledged_commit) {
                add_violation("lost", each);
            }
            if (logged > 0 && acknowledged_commit && keeps_commits_ && found->second.front()->rolled_back) {
                add_violation("lost", each, "not in the log of the member that was promoted");
            }
        }
    }

    /// Lowest log position that a read sent at `sent_at` must reflect.
    [[nodiscard]] log_position required(const recorded_operation& operation, instant sent_at) const
    {
        const bool fresh = operation.consistency == read_consistency::primary;
        const instant bound = fresh ? sent_at : sent_at - max_staleness_;
        const bool own_too = operation.consistency == read_consistency::read_your_writes;
        log_position lowest;
        for (const acknowledged& each : commits_) {
            const bool own = own_too && each.session == operation.session && each.at < sent_at;
            if (each.at < bound || own) {
                lowest = std::max(lowest, each.position);
            }
        }
        return lowest;
    }

    void check_reads(const recorded_operation& operation)
    {
        const instant started = operation.statements.front().sent_at;
        for (const recorded_statement& each : operation.statements) {
            if (each.kind != recorded_verb::read || !each.succeeded()) {
                continue;
            }
            const auto found = runs_by_receipt_.find(each.receipt);
            if (found == runs_by_receipt_.end() || found->second->request_id != each.request_id ||
                found->second->rows != each.rows) {
                add_violation("mixed", each, "receipt " + each.receipt);
                continue;
            }
            const instant sent_at = operation.transaction ? started : each.sent_at;
            const log_position lowest = required(operation, sent_at);
            if (found->second->held < lowest) {
                add_violation("stale", each,
                              "held " + std::to_string(found->second->held->index) + " needed " +
                                  std::to_string(lowest->index) + " on " + found->second->member);
            }
        }
    }

    /// Checks that a transaction stays on one connection, and that every statement ran with its session's values.
    void check_connection(const recorded_operation& operation)
    {
        std::set<std::pair<std::string, std::uint64_t>> transactions_used;
        for (const recorded_statement& each : operation.statements) {
            const auto found = runs_by_receipt_.find(each.receipt);
            if (!each.succeeded() || found == runs_by_receipt_.end()) {
                continue;
            }
            const statement_run& run = *found->second;
            if (run.values != each.values) {
                add_violation("session_values", each);
            }
            transactions_used.emplace(run.member, run.transaction);
            if (run.transaction != 0) {
                sessions_by_transaction_[run.transaction].insert(operation.session);
            }
        }
        const bool outside = operation.transaction && std::any_of(transactions_used.begin(), transactions_used.end(),
                                                                  [](const auto& each) { return each.second == 0; });
        if (operation.transaction && (transactions_used.size() > 1 || outside)) {
            add_violation("torn", operation.statements.front());
        }
    }

    void check_values_of_others()
    {
        for (const auto& [value, entries] : entries_) {
            if (!sent_values_.contains(value)) {
                violations_.push_back("not_asked_for: no caller sent " + value);
            }
        }
    }

    void check_shared_transactions()
    {
        for (const auto& [transaction, sessions] : sessions_by_transaction_) {
            if (sessions.size() > 1) {
                violations_.push_back("foreign_transaction: " + std::to_string(transaction));
            }
        }
    }

    const std::vector<recorded_operation>& history_;
    duration max_staleness_;
    bool keeps_commits_; ///< Commits wait for replicas, so that a change of primary must not drop them.
    std::map<std::string, std::vector<const log_entry*>> entries_; ///< Log entries by written value.
    std::map<std::string, const statement_run*> runs_by_receipt_;
    std::vector<acknowledged> commits_;
    std::set<std::string> sent_values_;
    std::map<std::uint64_t, std::set<std::uint64_t>> sessions_by_transaction_; ///< By transaction of a member.
    std::vector<std::string> violations_;
};

} // namespace

std::vector<std::string> soak_checker::check(const std::vector<recorded_operation>& history,
                                             const standin::service_model& service, duration max_staleness,
                                             const run_conditions& conditions)
{
    auto violations = history_check(history, service, max_staleness).run();
    for (const cut_finding& each : cut_check::check(history, conditions)) {
        if (each.verdict == cut_verdict::cut) {
            violations.push_back(each.details);
        }
    }
    return violations;
}

} // namespace citronfall::soak
