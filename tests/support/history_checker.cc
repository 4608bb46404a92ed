#include "support/history_checker.h"

#include <algorithm>
#include <map>
#include <set>

namespace citronfall::testing {
namespace {

using problems = std::vector<std::string>;

/// Keys by the value that was written to them.
std::map<std::string, std::string> keys_written(const std::vector<final_entry>& log)
{
    std::map<std::string, std::string> written;
    for (const final_entry& entry : log) {
        for (const auto& [key, value] : entry.changes) {
            written[value] = key;
        }
    }
    return written;
}

void check_log(const std::vector<final_entry>& log, problems& found)
{
    std::set<std::string> ids;
    std::set<std::string> values;
    std::set<std::string> keys;
    for (const final_entry& entry : log) {
        if (!entry.request_id.empty() && !ids.insert(entry.request_id).second) {
            found.push_back("ran_twice: id " + entry.request_id);
        }
        if (entry.changes.size() != 1) {
            continue; // Transactions may overwrite each other's keys.
        }
        const auto& [key, value] = *entry.changes.begin();
        if (!values.insert(value).second) {
            found.push_back("ran_twice: value " + value);
        }
        if (!keys.insert(key).second) {
            found.push_back("doubled: " + key + " by " + value);
        }
    }
}

void check_transactions(const std::vector<recorded_operation>& history, const std::vector<final_entry>& log,
                        problems& found)
{
    std::map<std::string, final_entry> by_id;
    for (const final_entry& entry : log) {
        by_id[entry.request_id] = entry;
    }
    for (const recorded_operation& each : history) {
        if (!each.transaction) {
            continue;
        }
        const auto entry = by_id.find(each.request_id);
        const bool ran = entry != by_id.end() && entry->second.ran;
        const std::map<std::string, std::string> expected{{each.key + "-left", each.request_id},
                                                          {each.key + "-right", each.request_id}};
        if (ran && entry->second.changes != expected) {
            found.push_back("torn: " + each.request_id);
        }
        if (!each.result.empty() && each.result != each.request_id) {
            found.push_back("mixed: transaction " + each.request_id + " read " + each.result);
        }
        if (each.answered && each.effect == outcome::done && !ran) {
            found.push_back("lost: transaction " + each.request_id);
        }
        if (each.answered && each.effect == outcome::not_run && ran) {
            found.push_back("ran_though_not_run: transaction " + each.request_id);
        }
    }
}

void check_bookings(const std::vector<recorded_operation>& history, const std::vector<final_entry>& log,
                    problems& found)
{
    std::set<std::string> ran;
    for (const final_entry& entry : log) {
        if (entry.ran) {
            ran.insert(entry.request_id);
        }
    }
    auto written = keys_written(log);
    for (const recorded_operation& each : history) {
        if (!each.booking) {
            continue;
        }
        const bool confirmed =
            each.answered && each.effect == outcome::done && each.evidence == evidence_kind::majority;
        if (confirmed && !each.refused &&
            (!written.contains(each.request_id) || written[each.request_id] != each.key)) {
            found.push_back("lost: " + each.request_id);
        }
        if (each.refused && (!written.contains(each.result) || written[each.result] != each.key)) {
            found.push_back("false_refusal: " + each.request_id + " refused because of " + each.result);
        }
        const bool not_run = each.answered && each.effect == outcome::not_run;
        if (not_run && ran.contains(each.request_id)) {
            found.push_back("ran_though_not_run: " + each.request_id);
        }
    }
}

/// The value that a read must return, and in `rule` the rule that requires it: a value that the session has written or
/// read before, or that of a booking which was confirmed early enough. Empty if there is none.
std::string expected_value(const std::vector<recorded_operation>& history, const recorded_operation& read,
                           std::string& rule)
{
    for (const recorded_operation& earlier : history) {
        if (!earlier.answered || earlier.transaction || earlier.key != read.key || earlier.effect != outcome::done ||
            earlier.refused || *earlier.answered > read.invoked) {
            continue;
        }
        const std::string value = earlier.booking ? earlier.request_id : earlier.result;
        const bool own = earlier.session == read.session && read.carried_session;
        if (own && !value.empty()) {
            rule = "own_write_unread";
            return value;
        }
        const bool confirmed = earlier.booking && earlier.evidence == evidence_kind::majority;
        const duration age = read.max_staleness.value_or(duration{0});
        if (confirmed && !read.carried_session && *earlier.answered <= read.invoked - age) {
            rule = read.max_staleness ? "too_old" : "stale";
            return value;
        }
    }
    return {};
}

void check_reads(const std::vector<recorded_operation>& history, const std::vector<final_entry>& log, problems& found)
{
    auto written = keys_written(log);
    for (const recorded_operation& read : history) {
        if (read.booking || read.transaction || !read.answered || read.effect != outcome::done) {
            continue;
        }
        if (!read.result.empty() && !written.contains(read.result)) {
            found.push_back("unconfirmed: read " + read.result + " of " + read.key);
        } else if (!read.result.empty() && written[read.result] != read.key) {
            found.push_back("mixed: read of " + read.key + " gave " + read.result);
        }
        std::string rule;
        const std::string expected = expected_value(history, read, rule);
        if (!expected.empty() && read.result != expected && written.contains(expected)) {
            found.push_back(rule + ": read of " + read.key + " gave '" + read.result + "', expected " + expected);
        }
    }
}

} // namespace

std::vector<std::string> history_checker::check(const std::vector<recorded_operation>& history,
                                                const std::vector<final_entry>& log)
{
    problems found;
    check_log(log, found);
    check_bookings(history, log, found);
    check_transactions(history, log, found);
    check_reads(history, log, found);
    return found;
}

} // namespace citronfall::testing
