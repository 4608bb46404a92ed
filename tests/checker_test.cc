#include "support/fault_schedule.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace citronfall::testing;

member_call with_statement(const member_call& call, const std::string& from, const std::string& to)
{
    return with(call, [&](member_call_fields& fields) {
        if (fields.statement.starts_with(from)) {
            fields.statement = to + fields.statement.substr(from.size());
        }
    });
}

member_answer with_result(const member_answer& answer, member_verdict verdict, const std::string& result)
{
    return with(answer, [&](member_answer_fields& fields) {
        fields.verdict = verdict;
        fields.result = result;
    });
}

bool is_read(const member_call& call)
{
    return call->operation == member_operation::statement && call->kind == statement_kind::read;
}

bool is_write(const member_call& call)
{
    return call->operation == member_operation::statement && call->kind == statement_kind::write;
}

/// Replicas claim to have all entries of the primary's log.
void overstate_logs(virtual_deployment& deployment)
{
    deployment.group().distort_answer = [&deployment](const std::string&, const member_call& call,
                                                      const member_answer& answer) {
        const std::string primary = deployment.group().primary();
        if (call->operation != member_operation::status || !answer->status ||
            (*answer->status)->role == member_role::primary || primary.empty()) {
            return answer;
        }
        return with(answer, [&](member_answer_fields& fields) {
            const member_status full = deployment.group().model(primary).status();
            fields.status = with(*fields.status, [&](member_status_fields& status) {
                status.last_index = full->last_index;
                status.history = full->history;
            });
        });
    };
}

/// Members run each call under a new request id and overwrite keys that are taken.
void run_again(virtual_deployment& deployment)
{
    deployment.group().distort_call = [count = 0](const std::string&, const member_call& call) mutable {
        return with(with_statement(call, "book", "set"), [&](member_call_fields& fields) {
            if (!fields.request_id.empty()) {
                fields.request_id += "#" + std::to_string(++count);
            }
        });
    };
}

void overwrite_slots(virtual_deployment& deployment)
{
    deployment.group().distort_call = [](const std::string&, const member_call& call) {
        return with_statement(call, "book", "set");
    };
}

/// Members run some bookings but answer that they did not.
void deny_execution(virtual_deployment& deployment)
{
    deployment.group().distort_answer = [](const std::string&, const member_call& call, const member_answer& answer) {
        const bool denied = is_write(call) && call->request_id.ends_with('3');
        return denied ? with_result(answer, member_verdict::no_slot, "") : answer;
    };
}

std::function<void(virtual_deployment&)> reads_return(const std::string& result)
{
    return [result](virtual_deployment& deployment) {
        deployment.group().distort_answer = [result](const std::string&, const member_call& call,
                                                     const member_answer& answer) {
            return is_read(call) && answer->verdict == member_verdict::done
                       ? with_result(answer, member_verdict::done, result)
                       : answer;
        };
    };
}

/// Reads return the newest value of any key.
void mix_answers(virtual_deployment& deployment)
{
    deployment.group().distort_answer = [&deployment](const std::string& member, const member_call& call,
                                                      const member_answer& answer) {
        const auto& log = deployment.group().model(member).log();
        return is_read(call) && answer->verdict == member_verdict::done && !log.empty() && !log.back()->changes.empty()
                   ? with_result(answer, member_verdict::done, '"' + *log.back()->changes.begin()->second + '"')
                   : answer;
    };
}

void refuse_falsely(virtual_deployment& deployment)
{
    deployment.group().distort_answer = [](const std::string&, const member_call& call, const member_answer& answer) {
        return is_write(call) ? with_result(answer, member_verdict::conflict, "\"ghost\"") : answer;
    };
}

std::vector<fault> named_faults(const std::vector<std::string>& names)
{
    std::vector<fault> chosen;
    for (const std::string& name : names) {
        const auto& all = fault::all();
        chosen.push_back(*std::find_if(all.begin(), all.end(), [&](const fault& each) { return each.name == name; }));
    }
    return chosen;
}

} // namespace

TEST_CASE("the checker detects a violation of each rule", "[checker]")
{
    struct row {
        const char* rule;
        std::function<void(virtual_deployment&)> inject_defect;
        std::vector<std::string> faults;
    };
    const row rows[] = {
        {"lost", overstate_logs, {"replicas far behind", "primary cut off"}},
        {"ran_twice", run_again, {"daemon lost", "daemon lost", "daemon lost"}},
        {"doubled", overwrite_slots, {}},
        {"ran_though_not_run", deny_execution, {}},
        {"own_write_unread", reads_return("null"), {}},
        {"stale", reads_return("null"), {}},
        {"too_old", reads_return("null"), {}},
        {"unconfirmed", reads_return("\"ghost\""), {}},
        {"mixed", mix_answers, {}},
        {"false_refusal", refuse_falsely, {}},
    };
    for (const row& each : rows) {
        bool caught = false;
        for (std::uint64_t seed = 1; seed <= 20 && !caught; ++seed) {
            const auto run_result = fault_schedule::run(seed, named_faults(each.faults), each.inject_defect);
            caught =
                std::any_of(run_result.violations.begin(), run_result.violations.end(),
                            [&](const std::string& line) { return line.starts_with(std::string(each.rule) + ":"); });
        }
        INFO(each.rule);
        CHECK(caught);
    }
}

TEST_CASE("a deployment that does not recover is reported", "[checker]")
{
    auto lasting = named_faults({"primary cut off", "platform down"});
    for (fault& each : lasting) {
        each.end = [](virtual_deployment&) {
        };
    }
    const auto run_result = fault_schedule::run(1, lasting);
    CHECK(std::any_of(run_result.violations.begin(), run_result.violations.end(),
                      [](const std::string& line) { return line.starts_with("recovery:"); }));
}
