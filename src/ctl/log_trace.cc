#include "ctl/log_trace.h"

#include "ctl/session_end_explanation.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <sstream>

namespace citronfall {
namespace {

/// Number of context lines shown before and after the request, per file.
constexpr std::size_t context_before = 6;
constexpr std::size_t context_after = 4;

constexpr auto context_events = std::to_array<std::string_view>({"started",         "signal",
                                                                 "drain_started",   "lifecycle",
                                                                 "stopped",         "connections_left",
                                                                 "leader_lost",     "leader_found",
                                                                 "member_reach",    "primary_change",
                                                                 "primary_changed", "member_gone",
                                                                 "member_removed",  "configuration_in_force",
                                                                 "store_lost",      "store_regained",
                                                                 "duty_free",       "process_stalled",
                                                                 "lines_omitted",   "peer_lost"});

/// Parsed log line.
struct log_line {
    std::string text; ///< The whole line.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;

    [[nodiscard]] std::string field(const std::string& key) const
    {
        const auto found = fields.find(key);
        return found == fields.end() ? std::string{} : found->second;
    }
};

/// Parses `key=value` or `key="quoted value"` at `at` and advances `at` past it.
std::optional<std::pair<std::string, std::string>> next_field(std::string_view text, std::size_t& at)
{
    const std::size_t equals = text.find('=', at);
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t blank = text.rfind(' ', equals);
    const std::size_t start = blank == std::string_view::npos || blank < at ? at : blank + 1;
    const bool quoted = equals + 1 < text.size() && text[equals + 1] == '"';
    const std::size_t first = equals + (quoted ? 2 : 1);
    const std::size_t end = std::min(text.find(quoted ? '"' : ' ', first), text.size());
    at = std::min(end + 1, text.size());
    return std::pair{std::string(text.substr(start, equals - start)), std::string(text.substr(first, end - first))};
}

std::optional<log_line> read_line(const std::string& text)
{
    std::size_t at = text.find("event=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    log_line line{.text = text, .time = text.substr(0, text.find(' ')), .event = {}, .fields = {}};
    while (const auto field = next_field(text, at)) {
        line.fields.insert(*field);
    }
    line.event = line.field("event");
    return line;
}

std::vector<log_line> read_lines(const std::string& text)
{
    std::vector<log_line> lines;
    std::istringstream source(text);
    for (std::string each; std::getline(source, each);) {
        if (auto line = read_line(each)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

bool is_context_event(const log_line& line)
{
    return std::find(context_events.begin(), context_events.end(), line.event) != context_events.end();
}

/// State changes of one daemon around the lines `first` to `last`.
std::vector<std::string> context_of(const std::vector<log_line>& lines, std::size_t first, std::size_t last)
{
    std::vector<std::string> before;
    for (std::size_t i = first; i > 0 && before.size() < context_before; --i) {
        if (is_context_event(lines[i - 1])) {
            before.push_back(lines[i - 1].text);
        }
    }
    std::reverse(before.begin(), before.end());
    for (std::size_t i = first; i < last; ++i) {
        if (is_context_event(lines[i])) {
            before.push_back(lines[i].text);
        }
    }
    std::size_t after = 0;
    for (std::size_t i = last + 1; i < lines.size() && after < context_after; ++i) {
        if (is_context_event(lines[i])) {
            before.push_back(lines[i].text);
            ++after;
        }
    }
    return before;
}

std::string last_event(const std::vector<log_line>& lines, std::size_t before, const std::string& event)
{
    for (std::size_t i = before; i > 0; --i) {
        if (lines[i - 1].event == event) {
            return lines[i - 1].text;
        }
    }
    return {};
}

/// End of the connection of `session` after the line `at` with bytes of answers unsent; null if none was logged.
const log_line* unsent_answer(const std::vector<log_line>& lines, std::size_t at, const std::string& session)
{
    for (std::size_t i = at + 1; i < lines.size() && lines[i].event != "started"; ++i) {
        const bool ended = lines[i].event == "connection_ended" || lines[i].event == "session_ended";
        if (ended && lines[i].field("session") == session) {
            return lines[i].field("unsent_bytes") == "0" ? nullptr : &lines[i];
        }
    }
    return nullptr;
}

/// The last end of `session` before the line `before`; null if none was logged.
const log_line* session_end_before(const std::vector<log_line>& lines, std::size_t before, const std::string& session)
{
    for (std::size_t i = before; i > 0 && lines[i - 1].event != "started"; --i) {
        const bool ended = lines[i - 1].event == "session_ended" || lines[i - 1].event == "session_refused";
        if (ended && lines[i - 1].field("session") == session) {
            return &lines[i - 1];
        }
    }
    return nullptr;
}

/// Conclusion from a line about the end of the session while the request had no answer.
std::string conclude_unanswered(const log_line& line)
{
    return "not answered: " + explain_session_end(line.field("reason")) + " while " +
           explain_location({.stage = line.field("stage"), .member = line.field("member"), .peer = line.field("peer")});
}

/// Conclusion from a statement that arrived after the end of its session.
std::string conclude_dropped(const log_line& line, const std::vector<log_line>& lines, std::size_t at)
{
    std::string text = "not answered: it arrived after its session had ended";
    const log_line* end = session_end_before(lines, at, line.field("session"));
    if (end != nullptr) {
        const bool refused = end->event == "session_refused";
        text += refused ? ": the session was refused with " + end->field("error")
                        : ": " + explain_session_end(end->field("reason"));
    }
    return text;
}

struct attempt_count {
    std::size_t sent = 0;
    std::size_t relayed = 0;
    std::string last_member;
    std::string refusals; ///< Members that refused it, with their reasons.
};

std::string describe_not_sent(const log_line& answer, const std::vector<log_line>& lines, std::size_t at)
{
    const std::string outcome = answer.field("outcome");
    if (outcome == "no_primary") {
        const std::string lost = last_event(lines, at, "leader_lost");
        return "rejected, not executed: no leader was known" +
               (lost.empty() ? std::string(" since the daemon's start") : "; last leader loss: " + lost);
    }
    return "rejected, not executed (" + outcome + "): " + answer.field("detail");
}

std::string conclude(const log_line& answer, const attempt_count& attempts, const std::vector<log_line>& lines,
                     std::size_t at)
{
    const std::string outcome = answer.field("outcome");
    const std::string took = answer.field("took_us") + " us";
    const std::string refusal_text = attempts.refusals.empty() ? "" : "; refused before by:" + attempts.refusals;
    if (outcome == "done") {
        return "answered by " + answer.field("member") + " after " + took + ", " + std::to_string(attempts.sent) +
               " attempts" + refusal_text;
    }
    if (outcome == "outcome_unknown") {
        return "outcome unknown: sent to " + attempts.last_member + ", no answer (" + answer.field("detail") +
               "); it may have been executed and is not retried";
    }
    if (attempts.sent == 0 && attempts.relayed == 0) {
        return describe_not_sent(answer, lines, at);
    }
    return outcome + " after " + took + ": " + answer.field("detail") + refusal_text;
}

/// Adds the lines, context and conclusion from one daemon's log.
void trace_file(std::string_view id, const log_file& file, log_explanation& found)
{
    const auto lines = read_lines(file.text);
    std::optional<std::size_t> first;
    std::size_t last = 0;
    attempt_count attempts;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const log_line& line = lines[i];
        if (line.field("id") != id) {
            continue;
        }
        first = first.value_or(i);
        last = i;
        found.lines.push_back(file.name + ": " + line.text);
        if (line.event == "statement_sent") {
            ++attempts.sent;
            attempts.last_member = line.field("member");
        } else if (line.event == "statement_relayed") {
            ++attempts.relayed;
        } else if (line.event == "statement_requeued") {
            attempts.refusals += " " + line.field("member") + " (" + line.field("reason") + ")";
        } else if (line.event == "request_answered") {
            found.conclusion += file.name + ": " + conclude(line, attempts, lines, i);
            if (const log_line* unsent = unsent_answer(lines, i, line.field("session")); unsent != nullptr) {
                found.conclusion += "; up to " + unsent->field("unsent_bytes") +
                                    " bytes of answers were not sent: " + explain_session_end(unsent->field("reason"));
            }
            found.conclusion += "\n";
        } else if (line.event == "session_ended" || line.event == "statement_unanswered") {
            found.conclusion += file.name + ": " + conclude_unanswered(line) + "\n";
        } else if (line.event == "statement_dropped") {
            found.conclusion += file.name + ": " + conclude_dropped(line, lines, i) + "\n";
        }
    }
    if (first) {
        for (const std::string& each : context_of(lines, *first, last)) {
            found.context.push_back(file.name + ": " + each);
        }
    }
}

} // namespace

log_explanation explain_request(std::string_view request_id, const std::vector<log_file>& files)
{
    log_explanation found;
    for (const log_file& each : files) {
        trace_file(request_id, each, found);
    }
    if (found.lines.empty()) {
        found.conclusion = "no line has this request id: the request did not reach these daemons, or its lines were "
                           "omitted (see lines_omitted)\n";
    } else if (found.conclusion.empty()) {
        found.conclusion = "not answered in these logs: the daemon stopped or the caller disconnected before\n";
    }
    return found;
}

} // namespace citronfall
