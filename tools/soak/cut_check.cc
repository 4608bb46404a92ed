#include "soak/cut_check.h"

#include <algorithm>
#include <map>

namespace citronfall::soak {
namespace {

using standin::connection_end;
using standin::member_work;

/// Time before a statement from which an unplanned fault may still have consequences.
constexpr duration fault_aftermath = std::chrono::seconds(4);

/// Time in which a daemon may not have read a statement that has not reached a member.
constexpr duration unread_allowance = std::chrono::milliseconds(200);

/// Time after SIGTERM in which a statement may be sent that outlasts the grace period.
constexpr duration late_sending = std::chrono::seconds(3);

/// Time after SIGHUP or a change of the configuration in which it can take effect.
constexpr duration apply_time = std::chrono::seconds(3);

constexpr duration notice_allowance = std::chrono::seconds(1);

std::string milliseconds_between(instant from, instant until)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(until - from).count());
}

class single_check {
public:
    explicit single_check(const run_conditions& conditions) : conditions_(conditions)
    {
        for (const member_work& each : conditions_.member_work) {
            work_[each.request_id].push_back(&each);
        }
    }

    [[nodiscard]] cut_verdict judge(const recorded_statement& statement, std::size_t daemon) const
    {
        if (statement.end == connection_end::open) {
            return cut_verdict::given_up;
        }
        if (!could_be_read(statement)) {
            return cut_verdict::unread;
        }
        if (statement.ended_at - statement.sent_at >= conditions_.statement_timeout) {
            return cut_verdict::timed_out;
        }
        if (disturbed(statement)) {
            return cut_verdict::disturbed;
        }
        return outlasts_grace(statement, daemon) ? cut_verdict::outlasts_grace : cut_verdict::cut;
    }

    [[nodiscard]] std::string describe(cut_verdict verdict, const recorded_statement& statement,
                                       std::size_t daemon) const
    {
        std::string text =
            std::string(cut_verdict_name(verdict)) + ": " + statement.request_id + " d" + std::to_string(daemon);
        text += std::string(" ") + name(statement.end);
        text += " after_ms=" + milliseconds_between(statement.sent_at, statement.ended_at);
        text += " code=" + statement.error_code.value_or("-");
        text += at_member(statement.request_id).empty() ? " member=-" : " member=" + at_member(statement.request_id);
        for (const planned_work& each : conditions_.planned) {
            if (in_force(each, statement, daemon)) {
                text += std::string(" ") + name(each.kind) +
                        "_before_ms=" + milliseconds_between(each.at, statement.sent_at);
            }
        }
        return text;
    }

private:
    static const char* name(connection_end end)
    {
        switch (end) {
        case connection_end::open:
            return "open";
        case connection_end::closed:
            return "closed";
        case connection_end::reset:
            break;
        }
        return "reset";
    }

    static const char* name(planned_work_kind kind)
    {
        switch (kind) {
        case planned_work_kind::stop:
            return "stop";
        case planned_work_kind::reload:
            return "reload";
        case planned_work_kind::configure:
            break;
        }
        return "configure";
    }

    [[nodiscard]] std::vector<const member_work*> work_on(const std::string& request_id) const
    {
        const auto found = work_.find(request_id);
        return found == work_.end() ? std::vector<const member_work*>{} : found->second;
    }

    [[nodiscard]] std::string at_member(const std::string& request_id) const
    {
        const auto all = work_on(request_id);
        return all.empty() ? "" : all.back()->member;
    }

    [[nodiscard]] bool could_be_read(const recorded_statement& statement) const
    {
        const auto all = work_on(statement.request_id);
        const bool passed_on = std::any_of(
            all.begin(), all.end(), [&](const member_work* each) { return each->arrived_at < statement.ended_at; });
        return passed_on || statement.ended_at - statement.sent_at > unread_allowance + statement.reading_delay;
    }

    [[nodiscard]] bool disturbed(const recorded_statement& statement) const
    {
        return std::any_of(conditions_.unplanned.begin(), conditions_.unplanned.end(), [&](const fault_period& each) {
            return each.from <= statement.ended_at && each.until >= statement.sent_at - fault_aftermath;
        });
    }

    /// Whether a member was still at work on the statement in the last sixth of the grace period.
    [[nodiscard]] bool outlasts_grace(const recorded_statement& statement, std::size_t daemon) const
    {
        const auto all = work_on(statement.request_id);
        return std::any_of(conditions_.planned.begin(), conditions_.planned.end(), [&](const planned_work& stop) {
            const instant last_sixth = stop.at + conditions_.grace * 5 / 6;
            return in_force(stop, statement, daemon) && stop.kind == planned_work_kind::stop &&
                   statement.sent_at <= stop.at + late_sending && statement.ended_at >= last_sixth &&
                   std::any_of(all.begin(), all.end(), [&](const member_work* each) {
                       return each->answered_at.value_or(statement.ended_at) >= last_sixth;
                   });
        });
    }

    [[nodiscard]] bool in_force(const planned_work& work, const recorded_statement& statement, std::size_t daemon) const
    {
        const bool stops = work.kind == planned_work_kind::stop;
        const instant until = work.at + (stops ? conditions_.grace : apply_time) + notice_allowance;
        return (work.kind == planned_work_kind::configure || work.daemon == daemon) && work.at <= statement.ended_at &&
               statement.sent_at <= until;
    }

    const run_conditions& conditions_;
    std::map<std::string, std::vector<const member_work*>> work_; ///< By request id.
};

} // namespace

const char* cut_verdict_name(cut_verdict verdict)
{
    switch (verdict) {
    case cut_verdict::given_up:
        return "given_up";
    case cut_verdict::unread:
        return "unread";
    case cut_verdict::timed_out:
        return "timed_out";
    case cut_verdict::disturbed:
        return "disturbed";
    case cut_verdict::outlasts_grace:
        return "outlasts_grace";
    case cut_verdict::cut:
        break;
    }
    return "cut";
}

std::vector<cut_finding> cut_check::check(const std::vector<recorded_operation>& history,
                                          const run_conditions& conditions)
{
    const single_check single(conditions);
    std::vector<cut_finding> findings;
    for (const recorded_operation& operation : history) {
        for (const recorded_statement& each : operation.statements) {
            if (!each.answered_at) {
                const cut_verdict verdict = single.judge(each, operation.daemon);
                findings.push_back({.verdict = verdict, .details = single.describe(verdict, each, operation.daemon)});
            }
        }
    }
    return findings;
}

} // namespace citronfall::soak
