#include "support/virtual_callers.h"

#include "citronfall/error_table.h"

#include <algorithm>
#include <iterator>
#include <memory>

namespace citronfall::testing {
namespace {

/// A string result without its JSON quotes; empty for null.
std::string unquoted(const std::string& result)
{
    return result.size() >= 2 && result.front() == '"' ? result.substr(1, result.size() - 2) : std::string{};
}

} // namespace

void virtual_callers::start(instant end)
{
    callers_.resize(options_.callers);
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        deployment_.time().after(deployment_.time().vary(options_.think_time), [this, i, end] { send_next(i, end); });
    }
}

std::vector<final_entry> virtual_callers::final_log(const virtual_deployment& deployment)
{
    std::vector<final_entry> log;
    const virtual_group& group = deployment.group();
    for (const standin::log_entry& entry : group.model(group.primary()).log()) {
        final_entry row{
            .request_id = entry->request_id, .changes = {}, .ran = entry->verdict != member_verdict::cancelled};
        for (const auto& [key, value] : entry->changes) {
            row.changes[key] = value.value_or("");
        }
        log.push_back(row);
    }
    return log;
}

std::vector<instant> virtual_callers::confirmations() const
{
    std::vector<instant> times;
    for (const recorded_operation& each : history_) {
        if (each.booking && each.answered && each.effect == outcome::done && !each.refused) {
            times.push_back(*each.answered);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

void virtual_callers::send_next(std::size_t caller, instant end)
{
    virtual_time& time = deployment_.time();
    if (time.now() >= end) {
        return;
    }
    caller_state& state = callers_[caller];
    recorded_operation next{.session = caller};
    if (!state.unresolved_id.empty()) {
        next.booking = true;
        next.request_id = state.unresolved_id;
        next.key = state.unresolved_key;
        next.retry = true;
    } else if (options_.transactions && time.draw(6) == 0) {
        run_transaction(caller, end);
        return;
    } else if (time.draw(2) == 0) {
        next.booking = true;
        next.request_id = "r" + std::to_string(++last_id_);
        next.key = "slot-" + std::to_string(time.draw(options_.keys));
    } else {
        const bool again = !state.seen_keys.empty() && time.draw(2) == 0;
        next.key = again ? state.seen_keys.back() : "slot-" + std::to_string(time.draw(options_.keys));
        next.carried_session = time.draw(3) != 0;
        if (options_.stale_reads && time.draw(3) == 0) {
            next.max_staleness = std::chrono::milliseconds(300);
        }
    }
    send(caller, std::move(next), end);
}

void virtual_callers::send(std::size_t caller, recorded_operation operation, instant end)
{
    virtual_time& time = deployment_.time();
    caller_state& state = callers_[caller];
    operation.invoked = time.now();
    const std::size_t index = history_.size();
    caller_request_fields request{
        .tenant = virtual_deployment::tenant,
        .class_name = options_.drafts ? virtual_deployment::draft_class : virtual_deployment::booking_class,
        .group = virtual_deployment::group_name,
        .kind = operation.booking ? statement_kind::write : statement_kind::read,
        .statement = operation.booking ? "book " + operation.key + " " + operation.request_id : "get " + operation.key,
        .request_id = operation.request_id,
        .retry = operation.retry,
        .deadline = time.now() + options_.deadline,
        .max_staleness = operation.max_staleness};
    if (operation.carried_session) {
        request.session = state.session;
    }
    history_.push_back(std::move(operation));
    call(pick_daemon(), request, [=, this](const std::optional<caller_answer>& answer) {
        if (answer) {
            answered(caller, index, *answer);
        } else if (history_[index].booking) {
            callers_[caller].unresolved_id = history_[index].request_id;
            callers_[caller].unresolved_key = history_[index].key;
        }
        deployment_.time().after(deployment_.time().vary(options_.think_time), [=, this] { send_next(caller, end); });
    });
}

void virtual_callers::call(const std::string& daemon, const caller_request_fields& request,
                           const answer_hook& answered_hook)
{
    virtual_time& time = deployment_.time();
    const auto over = std::make_shared<bool>(false);
    time.after(time.vary(options_.latency), [=, this] {
        deployment_.submit(daemon, request, [=, this](const caller_answer& answer) {
            deployment_.time().after(deployment_.time().vary(options_.latency), [=] {
                if (!std::exchange(*over, true)) {
                    answered_hook(answer);
                }
            });
        });
    });
    time.after(options_.deadline + std::chrono::milliseconds(500), [=] {
        if (!std::exchange(*over, true)) {
            answered_hook(std::nullopt);
        }
    });
}

void virtual_callers::run_transaction(std::size_t caller, instant end)
{
    virtual_time& time = deployment_.time();
    const std::size_t index = history_.size();
    history_.push_back({.session = caller,
                        .transaction = true,
                        .key = "pair-" + std::to_string(time.draw(options_.keys)),
                        .request_id = "t" + std::to_string(++last_id_),
                        .invoked = time.now()});
    continue_transaction(index, pick_daemon(), "", 0, [=, this] {
        deployment_.time().after(deployment_.time().vary(options_.think_time), [=, this] { send_next(caller, end); });
    });
}

void virtual_callers::continue_transaction(std::size_t index, const std::string& daemon, const std::string& transaction,
                                           std::size_t step, const std::function<void()>& ended)
{
    const std::string& key = history_[index].key;
    const std::string& id = history_[index].request_id;
    const std::string statements[] = {"", "set " + key + "-left " + id, "get " + key + "-left",
                                      "set " + key + "-right " + id, ""};
    constexpr std::size_t last_step = std::size(statements) - 1;
    caller_request_fields request{.operation = step == 0           ? caller_operation::begin
                                               : step == last_step ? caller_operation::commit
                                                                   : caller_operation::transaction_statement,
                                  .tenant = virtual_deployment::tenant,
                                  .class_name = virtual_deployment::booking_class,
                                  .group = virtual_deployment::group_name,
                                  .kind = step == 2 ? statement_kind::read : statement_kind::write,
                                  .statement = statements[step],
                                  .request_id = step == last_step ? id : std::string{},
                                  .deadline = deployment_.time().now() + options_.deadline,
                                  .transaction = transaction};
    call(daemon, request, [=, this](const std::optional<caller_answer>& answer) {
        recorded_operation& record = history_[index];
        const bool failed = !answer || (*answer)->failure;
        if (!failed && step == 2) {
            record.result = unquoted((*answer)->result);
        }
        if (!failed && step < last_step) {
            continue_transaction(index, daemon, step == 0 ? (*answer)->transaction : transaction, step + 1, ended);
            return;
        }
        if (answer) {
            record.answered = deployment_.time().now();
            record.effect = failed ? error_row_for(*(*answer)->failure).effect : outcome::done;
            record.evidence = (*answer)->evidence;
        }
        ended();
    });
}

void virtual_callers::answered(std::size_t caller, std::size_t operation, const caller_answer& answer)
{
    caller_state& state = callers_[caller];
    recorded_operation& record = history_[operation];
    record.answered = deployment_.time().now();
    record.effect = answer->failure ? error_row_for(*answer->failure).effect : outcome::done;
    record.refused = answer->failure == error_kind::conflict;
    record.evidence = answer->evidence;
    record.result = unquoted(answer->result);
    state.session = answer->session;
    if (!record.booking) {
        if (!record.result.empty()) {
            state.seen_keys.push_back(record.key);
        }
        return;
    }
    if (record.effect == outcome::done) {
        state.unresolved_id.clear();
        if (!record.refused) {
            state.seen_keys.push_back(record.key);
        }
    } else if (record.effect == outcome::unknown) {
        state.unresolved_id = record.request_id;
        state.unresolved_key = record.key;
    } else {
        state.unresolved_id.clear();
    }
}

std::string virtual_callers::pick_daemon()
{
    std::vector<std::string> running;
    for (const std::string& name : deployment_.daemons()) {
        if (deployment_.running(name)) {
            running.push_back(name);
        }
    }
    return running.empty() ? deployment_.daemons().front() : running[deployment_.time().draw(running.size())];
}

} // namespace citronfall::testing
