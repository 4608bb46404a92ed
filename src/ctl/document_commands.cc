#include "ctl/document_commands.h"

#include "ctl/daemon_commands.h"
#include "ctl/text_table.h"
#include "document/document_committer.h"
#include "document_codec/document_codec.h"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;
using document_read_result = std::variant<document_state, std::vector<document_problem>, error>;

constexpr duration call_timeout = std::chrono::seconds(5);
constexpr std::int64_t minute_ms = 60 * 1000;

exit_code usage(const tool_context& context, const std::string& text)
{
    context.err << "citronfallctl: " << text << '\n';
    return exit_code::usage;
}

/// Prints the problems of a change. Exit code `conflict` if another operator's change came first, else `refused`.
exit_code report_problems(const tool_context& context, const tool_arguments& arguments,
                          const std::vector<document_problem>& problems)
{
    json list = json::array();
    for (const document_problem& each : problems) {
        list.push_back(
            {{"section", each->section}, {"path", each->path}, {"found", each->found}, {"allowed", each->allowed}});
        if (!arguments.json) {
            context.err << each.text() << '\n';
        }
    }
    if (arguments.json) {
        context.out << json{{"problems", list}}.dump() << '\n';
    }
    const bool conflict = std::any_of(problems.begin(), problems.end(), [](const document_problem& each) {
        return each->path.empty() && each->allowed.starts_with("the base of the change");
    });
    return conflict ? exit_code::conflict : exit_code::refused;
}

document_committer acceptance(const tool_context& context)
{
    return document_committer(
        {.read = [&context] { return context.platform.kv_read("document", steady_now() + call_timeout); },
         .compare_and_swap =
             [&context](kv_revision expected, const std::string& text) {
                 return context.platform.kv_compare_and_swap("document", expected, text, steady_now() + call_timeout);
             },
         .decode = [](const std::string& text) { return document_codec::decode(text); },
         .encode = document_codec::encode,
         .check =
             [&context](const document_state& document) {
                 auto checked = document_codec::check(document, context.wall_ms());
                 auto* problems = std::get_if<std::vector<document_problem>>(&checked);
                 return problems == nullptr ? std::vector<document_problem>{} : std::move(*problems);
             },
         .pause =
             [&context](unsigned attempt) {
                 context.pause(std::chrono::milliseconds(20) * attempt);
             }});
}

/// Reads the document from the platform if its address is given, else the one in force on the daemon.
document_read_result present_document(const tool_context& context, const tool_arguments& arguments)
{
    if (context.platform.kv_read) {
        return acceptance(context).current();
    }
    const auto reply = context.call_daemon(operator_request(arguments, "GET", "document"));
    if (!ok(reply)) {
        return error_of(reply);
    }
    if (value_of(reply)->status != 200) {
        return error{{.kind = error_kind::unauthorized, .detail = value_of(reply)->body}};
    }
    auto read = document_codec::decode(value_of(reply)->body);
    if (auto* problems = std::get_if<std::vector<document_problem>>(&read)) {
        return std::move(*problems);
    }
    return std::get<document_state>(std::move(read));
}

/// Prints the error if reading the document failed, and returns the exit code; empty if it succeeded.
std::optional<exit_code> failed(const tool_context& context, const tool_arguments& arguments,
                                const document_read_result& read)
{
    if (const auto* problem = std::get_if<error>(&read)) {
        return report_failure(context, *problem);
    }
    if (const auto* problems = std::get_if<std::vector<document_problem>>(&read)) {
        return report_problems(context, arguments, *problems);
    }
    return std::nullopt;
}

std::optional<document_state> read_document_file(const tool_context& context, const tool_arguments& arguments,
                                                 exit_code& code)
{
    if (arguments.words.size() != 3) {
        code = usage(context, "expected one file, for example: citronfallctl document check FILE");
        return std::nullopt;
    }
    const auto text = context.read_file(arguments.words[2]);
    if (!text) {
        code = usage(context, "cannot read " + arguments.words[2]);
        return std::nullopt;
    }
    auto read = document_codec::decode(*text);
    if (const auto* problems = std::get_if<std::vector<document_problem>>(&read)) {
        code = report_problems(context, arguments, *problems);
        return std::nullopt;
    }
    return std::get<document_state>(std::move(read));
}

exit_code propose(const tool_context& context, const tool_arguments& arguments, document_proposal_fields fields)
{
    if (!context.platform.kv_read) {
        return usage(context, "a change requires --platform ip:port");
    }
    fields.author = arguments.author;
    fields.team = arguments.team;
    fields.reason = arguments.reason;
    fields.time = context.wall_ms();
    fields.nonce = context.nonce();
    fields.adopt = arguments.adopt;
    const auto accepted = acceptance(context).commit(document_proposal{std::move(fields)});
    if (const auto code = failed(context, arguments, accepted)) {
        return *code;
    }
    const std::uint64_t revision = std::get<document_state>(accepted)->revision;
    if (arguments.json) {
        context.out << json{{"revision", revision}}.dump() << '\n';
    } else {
        context.out << "document accepted, revision " << revision << '\n';
    }
    return arguments.wait ? wait_for_rollout(context, arguments, revision) : exit_code::success;
}

exit_code check_file(const tool_context& context, const tool_arguments& arguments)
{
    exit_code code = exit_code::success;
    const auto wanted = read_document_file(context, arguments, code);
    if (!wanted) {
        return code;
    }
    const auto checked = document_codec::check(*wanted, context.wall_ms());
    if (const auto* problems = std::get_if<std::vector<document_problem>>(&checked)) {
        return report_problems(context, arguments, *problems);
    }
    context.out << (arguments.json ? "{\"problems\":[]}" : arguments.words[2] + ": the document is valid") << '\n';
    return exit_code::success;
}

exit_code apply_file(const tool_context& context, const tool_arguments& arguments)
{
    exit_code code = exit_code::success;
    const auto wanted = read_document_file(context, arguments, code);
    if (!wanted) {
        return code;
    }
    if (!context.platform.kv_read) {
        return usage(context, "a change requires --platform ip:port");
    }
    const auto base = present_document(context, arguments);
    if (const auto failure = failed(context, arguments, base)) {
        return *failure;
    }
    const document_state& current = std::get<document_state>(base);
    // A file from `document show` holds the revision of each section on which it is based. If a section has a different
    // revision now, somebody else has changed it, and the change is rejected as a conflict.
    document_state_fields stated = *current;
    for (const auto& [part, section] : (*wanted)->sections) {
        const auto found = stated.sections.find(part);
        if ((*wanted)->revision != 0 && !(*wanted)->history.empty() && found != stated.sections.end() &&
            found->second->revision != section->revision) {
            found->second = section;
        }
    }
    return propose(context, arguments, {.base = document_state{std::move(stated)}, .sections = (*wanted)->sections});
}

exit_code diff_file(const tool_context& context, const tool_arguments& arguments)
{
    exit_code code = exit_code::success;
    const auto wanted = read_document_file(context, arguments, code);
    if (!wanted) {
        return code;
    }
    const auto base = present_document(context, arguments);
    if (const auto failure = failed(context, arguments, base)) {
        return *failure;
    }
    const auto& current = std::get<document_state>(base)->sections;
    json changes = json::array();
    for (const auto& [part, section] : (*wanted)->sections) {
        const auto found = current.find(part);
        const json before = found == current.end() ? json::object() : json::parse(found->second->content);
        for (const json& each : json::diff(before, json::parse(section->content))) {
            json change = each;
            change["section"] = name(part);
            if (each.at("op") != "add") {
                change["before"] = before.at(json::json_pointer(each.at("path").get<std::string>()));
            }
            changes.push_back(std::move(change));
        }
    }
    if (arguments.json) {
        context.out << changes.dump() << '\n';
        return exit_code::success;
    }
    for (const json& each : changes) {
        context.out << each.at("section").get<std::string>() << each.at("path").get<std::string>() << ": "
                    << (each.contains("before") ? each.at("before").dump() : "nothing") << " -> "
                    << (each.contains("value") ? each.at("value").dump() : "nothing") << '\n';
    }
    context.out << changes.size() << " differences\n";
    return exit_code::success;
}

exit_code show(const tool_context& context, const tool_arguments& arguments)
{
    const auto read = present_document(context, arguments);
    if (const auto failure = failed(context, arguments, read)) {
        return *failure;
    }
    const auto& document = std::get<document_state>(read);
    context.out << (arguments.json ? document_codec::encode(document) + "\n"
                                   : document_codec::encode_readable(document));
    return exit_code::success;
}

exit_code show_history(const tool_context& context, const tool_arguments& arguments)
{
    const auto read = present_document(context, arguments);
    if (const auto failure = failed(context, arguments, read)) {
        return *failure;
    }
    const auto& document = std::get<document_state>(read);
    if (arguments.json) {
        context.out << json::parse(document_codec::encode(document)).at("history").dump() << '\n';
        return exit_code::success;
    }
    std::vector<std::vector<std::string>> rows{{"REVISION", "TIME (ms)", "BY", "CHANGED", "REASON"}};
    for (const document_history_entry& each : document->history) {
        std::string parts;
        for (const auto& [part, hash] : each->parts) {
            parts += (parts.empty() ? "" : ", ") + std::string(name(part));
        }
        rows.push_back({std::to_string(each->revision), std::to_string(each->time), each->author, parts, each->reason});
    }
    context.out << text_table(rows);
    for (const document_problem& each : unrecorded_parts(document)) {
        context.out << "changed without a record: " << each.text() << '\n';
    }
    return exit_code::success;
}

exit_code list_overrides(const tool_context& context, const tool_arguments& arguments, const document_state& document)
{
    if (arguments.json) {
        context.out << json::parse(document_codec::encode(document)).at("overrides").dump() << '\n';
        return exit_code::success;
    }
    std::vector<std::vector<std::string>> rows{{"NAME", "SECTION", "PATH", "VALUE", "BY", "ENDS (ms)", "REASON"}};
    for (const document_override& each : document->overrides) {
        rows.push_back({each->name, std::string(name(each->section)), each->path, each->value, each->author,
                        each->end == 0 ? "when cleared" : std::to_string(each->end), each->reason});
    }
    context.out << text_table(rows);
    return exit_code::success;
}

std::optional<document_part_id> section_named(const std::string& text)
{
    for (std::size_t i = 0; i < section_count; ++i) {
        if (const auto part = static_cast<document_part_id>(i); name(part) == text) {
            return part;
        }
    }
    return std::nullopt;
}

exit_code set_override(const tool_context& context, const tool_arguments& arguments, const document_state& current)
{
    const auto section = section_named(arguments.section);
    if (!section || json::parse(arguments.value, nullptr, false).is_discarded()) {
        return usage(context, "an override requires --section NAME, --path POINTER and --value JSON");
    }
    const std::int64_t now = context.wall_ms();
    std::vector<document_override> wanted = current->overrides;
    std::erase_if(wanted, [&](const document_override& each) { return each->name == arguments.words[2]; });
    wanted.push_back(document_override{{.name = arguments.words[2],
                                        .author = arguments.author,
                                        .reason = arguments.reason,
                                        .time = now,
                                        .end = arguments.for_minutes == 0 ? 0 : now + arguments.for_minutes * minute_ms,
                                        .section = *section,
                                        .path = arguments.path,
                                        .value = json::parse(arguments.value).dump()}});
    return propose(context, arguments, {.base = current, .sections = {}, .overrides = wanted});
}

exit_code clear_override(const tool_context& context, const tool_arguments& arguments, const document_state& current)
{
    std::vector<document_override> wanted = current->overrides;
    if (std::erase_if(wanted, [&](const document_override& each) { return each->name == arguments.words[2]; }) == 0) {
        context.err << "citronfallctl: no override named " << arguments.words[2] << '\n';
        return exit_code::refused;
    }
    return propose(context, arguments, {.base = current, .sections = {}, .overrides = wanted});
}

} // namespace

exit_code run_document_command(const tool_context& context, const tool_arguments& arguments)
{
    const std::string verb = arguments.words.size() > 1 ? arguments.words[1] : "";
    if (verb == "show") {
        return show(context, arguments);
    }
    if (verb == "check") {
        return check_file(context, arguments);
    }
    if (verb == "diff") {
        return diff_file(context, arguments);
    }
    if (verb == "apply") {
        return apply_file(context, arguments);
    }
    if (verb == "history") {
        return show_history(context, arguments);
    }
    return usage(context, "document requires show, check, diff, apply or history");
}

exit_code run_override_command(const tool_context& context, const tool_arguments& arguments)
{
    const std::string verb = arguments.words.size() > 1 ? arguments.words[1] : "";
    const bool named = arguments.words.size() == 3;
    if (verb != "list" && !((verb == "set" || verb == "clear") && named)) {
        return usage(context, "override requires list, set NAME or clear NAME");
    }
    const auto read = present_document(context, arguments);
    if (const auto failure = failed(context, arguments, read)) {
        return *failure;
    }
    const auto& current = std::get<document_state>(read);
    if (verb == "list") {
        return list_overrides(context, arguments, current);
    }
    return verb == "set" ? set_override(context, arguments, current) : clear_override(context, arguments, current);
}

} // namespace citronfall
