#include "soak/soak_checker.h"

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

class check_run {
public:
    check_run(const std::vector<recorded_operation>& history, const standin::service_model& service,
              duration max_staleness)
        : history_(history), max_staleness_(max_staleness)
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
        return std::move(broken_);
    }

private:
    void note(const char* rule, const recorded_statement& statement, const std::string& detail = {})
    {
        broken_.push_back(std::string(rule) + ": " + statement.request_id + " " + statement.item + " " + detail);
    }

    /// The statement that commits an operation, if the caller sent it.
    static const recorded_statement* deciding(const recorded_operation& operation)
    {
        const auto wanted = operation.transaction ? asked_kind::commit : asked_kind::write;
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
            const recorded_statement* last = deciding(operation);
            if (last == nullptr || !last->succeeded()) {
                continue;
            }
            for (const recorded_statement& each : operation.statements) {
                const auto found = entries_.find(each.value);
                if (each.kind == asked_kind::write && found != entries_.end() && !found->second.front()->rolled_back) {
                    commits_.push_back({.at = *last->answered_at,
                                        .position = found->second.front()->position,
                                        .session = operation.session});
                }
            }
        }
    }

    void check_writes(const recorded_operation& operation)
    {
        const recorded_statement* last = deciding(operation);
        for (const recorded_statement& each : operation.statements) {
            if (each.kind != asked_kind::write) {
                continue;
            }
            sent_values_.insert(each.value);
            const auto found = entries_.find(each.value);
            const std::size_t kept = found == entries_.end() ? 0 : found->second.size();
            if (kept > 1) {
                note("doubled", each);
            }
            if (kept > 0 && last == nullptr) {
                note("not_asked_for", each, "no commit was sent");
            }
            if (kept > 0 && last != nullptr && last->promises_no_effect) {
                note("kept_though_refused", each, *last->error_code);
            }
            if (kept == 0 && last != nullptr && last->succeeded() && each.succeeded()) {
                note("lost", each);
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
            if (each.kind != asked_kind::read || !each.succeeded()) {
                continue;
            }
            const auto found = runs_by_receipt_.find(each.receipt);
            if (found == runs_by_receipt_.end() || found->second->request_id != each.request_id ||
                found->second->rows != each.rows) {
                note("mixed", each, "receipt " + each.receipt);
                continue;
            }
            const instant sent_at = operation.transaction ? started : each.sent_at;
            const log_position lowest = required(operation, sent_at);
            if (found->second->held < lowest) {
                note("stale", each,
                     "held " + std::to_string(found->second->held->index) + " needed " + std::to_string(lowest->index) +
                         " on " + found->second->member);
            }
        }
    }

    /// Checks that a transaction stays on one connection, and that every statement ran with its session's values.
    void check_connection(const recorded_operation& operation)
    {
        std::set<std::pair<std::string, std::uint64_t>> places;
        for (const recorded_statement& each : operation.statements) {
            const auto found = runs_by_receipt_.find(each.receipt);
            if (!each.succeeded() || found == runs_by_receipt_.end()) {
                continue;
            }
            const statement_run& run = *found->second;
            if (run.values != each.values) {
                note("session_values", each);
            }
            places.emplace(run.member, run.transaction);
            if (run.transaction != 0) {
                callers_[run.transaction].insert(operation.session);
            }
        }
        const bool outside = operation.transaction && std::any_of(places.begin(), places.end(),
                                                                  [](const auto& each) { return each.second == 0; });
        if (operation.transaction && (places.size() > 1 || outside)) {
            note("torn", operation.statements.front());
        }
    }

    void check_values_of_others()
    {
        for (const auto& [value, entries] : entries_) {
            if (!sent_values_.contains(value)) {
                broken_.push_back("not_asked_for: no caller sent " + value);
            }
        }
    }

    void check_shared_transactions()
    {
        for (const auto& [transaction, sessions] : callers_) {
            if (sessions.size() > 1) {
                broken_.push_back("foreign_transaction: " + std::to_string(transaction));
            }
        }
    }

    const std::vector<recorded_operation>& history_;
    duration max_staleness_;
    std::map<std::string, std::vector<const log_entry*>> entries_; ///< Log entries by written value.
    std::map<std::string, const statement_run*> runs_by_receipt_;
    std::vector<acknowledged> commits_;
    std::set<std::string> sent_values_;
    std::map<std::uint64_t, std::set<std::uint64_t>> callers_; ///< Sessions that used each transaction of a member.
    std::vector<std::string> broken_;
};

} // namespace

std::vector<std::string> soak_checker::check(const std::vector<recorded_operation>& history,
                                             const standin::service_model& service, duration max_staleness)
{
    return check_run(history, service, max_staleness).run();
}

} // namespace citronfall::soak
