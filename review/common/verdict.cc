#include "verdict.h"

#include "core/boot_clock.h"
#include "soak/run_conditions.h"
#include "soak/soak_checker.h"
#include "standin/sample_deployment.h"

#include <chrono>
#include <map>
#include <ostream>

namespace review {
namespace {

using namespace std::chrono_literals;
using citronfall::instant;
using citronfall::soak::recorded_operation;
using citronfall::soak::recorded_verb;
using citronfall::standin::service_model;

/// Rules of the users' pages by the checker's names.
const std::map<std::string, std::string>& rules()
{
    static const std::map<std::string, std::string> all = {{"lost", "PINNED"},
                                                           {"doubled", "TWICE"},
                                                           {"kept_though_refused", "REFUSED"},
                                                           {"not_asked_for", "UNASKED"},
                                                           {"mixed", "MIXED"},
                                                           {"stale", "STALE"},
                                                           {"torn", "PINNED"},
                                                           {"foreign_transaction", "PINNED"},
                                                           {"session_values", "PINNED"}};
    return all;
}

std::string ms(instant at)
{
    return std::to_string(at.time_since_epoch() / 1ms);
}

const char* name_of(recorded_verb verb)
{
    switch (verb) {
    case recorded_verb::begin:
        return "BEGIN";
    case recorded_verb::write:
        return "WRITE";
    case recorded_verb::commit:
        return "COMMIT";
    default:
        return "other";
    }
}

} // namespace

std::vector<std::string> broken_rules(const std::vector<recorded_operation>& history, const service_model& service)
{
    // Connections that are cut around an unplanned disruption break no rule.
    citronfall::soak::run_conditions conditions;
    conditions.unplanned.push_back({.from = instant{}, .until = citronfall::boot_now() + 1h});
    std::vector<std::string> broken;
    for (const std::string& each :
         citronfall::soak::soak_checker::check(history, service, citronfall::standin::sample_staleness, conditions)) {
        const auto rule = rules().find(each.substr(0, each.find(':')));
        if (rule != rules().end() && each.find("probe-") == std::string::npos) {
            broken.push_back(rule->second + " " + each);
        }
    }
    return broken;
}

void write_record(std::ostream& record, const std::vector<recorded_operation>& history, const service_model& service,
                  const std::vector<std::string>& broken)
{
    for (const std::string& each : broken) {
        record << "broken " << each << '\n';
    }
    for (const auto& operation : history) {
        for (const auto& each : operation.statements) {
            record << "sent at_ms=" << ms(each.sent_at) << " session=" << operation.session << " id=" << each.request_id
                   << " " << name_of(each.kind) << " " << each.item << " " << each.value
                   << " answered_ms=" << (each.answered_at ? ms(*each.answered_at) : "never")
                   << " error=" << each.error_code.value_or("none") << " receipt=" << each.receipt << '\n';
        }
    }
    for (const auto& each : service.runs()) {
        record << "run at_ms=" << ms(each.at) << " id=" << each.request_id << " member=" << each.member
               << " connection=" << each.session << " transaction=" << each.transaction << " receipt=" << each.receipt
               << '\n';
    }
    for (const auto& each : service.log()) {
        record << "commit at_ms=" << ms(each.at) << " position=" << each.position->term << "." << each.position->index
               << (each.rolled_back ? " rolled back" : "");
        for (const auto& [item, value] : each.changes) {
            record << " " << item << "=" << value;
        }
        record << '\n';
    }
}

std::size_t committed(const std::vector<recorded_operation>& history)
{
    std::size_t count = 0;
    for (const auto& each : history) {
        count += each.statements.back().kind == recorded_verb::commit && each.statements.back().succeeded() ? 1 : 0;
    }
    return count;
}

} // namespace review
