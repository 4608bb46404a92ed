#include "document_codec/document_codec.h"

#include "json/json_object_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

constexpr std::int64_t day_ms = 24 * 3600 * 1000;

duration read_duration_ms(json_object_reader& source, const std::string& key, duration fallback, std::int64_t min)
{
    const auto fallback_ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(source.integer(key, {.min = min, .max = day_ms, .fallback = fallback_ms}));
}

std::uint32_t read_count(json_object_reader& source, const std::string& key, const integer_rule& rule)
{
    return static_cast<std::uint32_t>(source.integer(key, rule));
}

group_config read_group(json_object_reader& source)
{
    group_config_fields fields{.name = source.text("name", {}),
                               .database = source.text("database", {}),
                               .members = {},
                               .connections_per_member =
                                   read_count(source, "connections_per_member", {.min = 1, .max = 100'000}),
                               .slots_per_member = read_count(source, "slots_per_member", {.min = 1, .max = 10'000})};
    source.objects("members", [&fields](json_object_reader& member) {
        fields.members.push_back(member_config{{.name = member.text("name", {}),
                                                .address = member.text("address", {.address = true}),
                                                .data_center = member.text("data_center", {})}});
    });
    std::set<std::string> names;
    for (const member_config& each : fields.members) {
        if (!names.insert(each->name).second) {
            source.add_problem("members", "two members named " + each->name, "unique names within the group");
        }
    }
    if (fields.members.empty()) {
        source.add_problem("members", "no member", "at least one member");
    }
    return group_config{std::move(fields)};
}

tenant_config read_tenant(json_object_reader& source)
{
    return tenant_config{
        {.name = source.text("name", {}),
         .weight = read_count(source, "weight", {.min = 1, .max = 1000, .fallback = 1}),
         .requests_per_second = read_count(source, "requests_per_second", {.min = 0, .max = 10'000'000, .fallback = 0}),
         .in_flight = read_count(source, "in_flight", {.min = 1, .max = 100'000, .fallback = 1024})}};
}

class_config read_class(json_object_reader& source)
{
    const class_config_fields defaults;
    const bool long_request = source.text("cost", {.choices = {"short", "long"}, .fallback = "short"}) == "long";
    const bool primary_evidence =
        source.text("evidence", {.choices = {"majority", "primary"}, .fallback = "majority"}) == "primary";
    class_config_fields fields{
        .tenant = source.text("tenant", {}),
        .name = source.text("name", {}),
        .cost = long_request ? cost_class::long_request : cost_class::short_request,
        .weight = read_count(source, "weight", {.min = 1, .max = 1000, .fallback = 1}),
        .deadline = read_duration_ms(source, "deadline_ms", defaults.deadline, 1),
        .evidence = primary_evidence ? evidence_kind::primary : evidence_kind::majority,
        .max_staleness = {},
        .requests_per_second = read_count(source, "requests_per_second", {.min = 0, .max = 10'000'000, .fallback = 0}),
        .in_flight = read_count(source, "in_flight", {.min = 1, .max = 100'000, .fallback = 256})};
    return class_config{std::move(fields)};
}

/// Reads the content of a section; its metadata (owner, revision, author) is not part of the configuration.
void read_section(json_object_reader& sections, document_part_id part, bool required,
                  const std::function<void(json_object_reader&)>& read)
{
    sections.object(std::string(name(part)), required,
                    [&](json_object_reader& section) { section.object("content", required, read); });
}

void read_databases(json_object_reader& content, operator_config_fields& fields)
{
    content.objects("groups", [&](json_object_reader& source) {
        group_config group = read_group(source);
        if (!fields.groups.emplace(group->name, group).second) {
            source.add_problem("name", group->name, "a name that no other group has");
        }
    });
}

void read_tenants(json_object_reader& content, operator_config_fields& fields)
{
    content.objects("tenants", [&](json_object_reader& source) {
        tenant_config tenant = read_tenant(source);
        if (!fields.tenants.emplace(tenant->name, tenant).second) {
            source.add_problem("name", tenant->name, "a name that no other tenant has");
        }
    });
    content.objects("classes", [&](json_object_reader& source) {
        class_config read = read_class(source);
        if (!fields.tenants.contains(read->tenant)) {
            source.add_problem("tenant", read->tenant, "a declared tenant");
        }
        if (!fields.classes[read->tenant].emplace(read->name, read).second) {
            source.add_problem("name", read->name, "a name that no other class of the tenant has");
        }
    });
}

void read_staleness(json_object_reader& content, operator_config_fields& fields)
{
    content.objects("classes", [&](json_object_reader& source) {
        const std::string tenant = source.text("tenant", {});
        const std::string name = source.text("class", {});
        const duration limit = read_duration_ms(source, "max_staleness_ms", duration{0}, 1);
        const auto classes = fields.classes.find(tenant);
        if (classes == fields.classes.end() || !classes->second.contains(name)) {
            source.add_problem("class", tenant + "/" + name, "a declared class");
            return;
        }
        auto& entry = classes->second.at(name);
        entry = with(entry, [&](class_config_fields& changed) { changed.max_staleness = limit; });
    });
}

void read_routing(json_object_reader& content, operator_config_fields& fields)
{
    const routing_config_fields defaults;
    fields.routing =
        routing_config{{.status_interval = read_duration_ms(content, "status_interval_ms", defaults.status_interval, 1),
                        .suspect_after = read_duration_ms(content, "suspect_after_ms", defaults.suspect_after, 10),
                        .replica_wait = read_duration_ms(content, "replica_wait_ms", defaults.replica_wait, 0),
                        .prefer_data_center = content.boolean("prefer_data_center", defaults.prefer_data_center),
                        .automatic_failover = content.boolean("automatic_failover", defaults.automatic_failover)}};
}

void read_limits(json_object_reader& content, operator_config_fields& fields)
{
    const limits_config_fields defaults;
    fields.limits = limits_config{
        {.long_request_percent = read_count(content, "long_request_percent",
                                            {.min = 1, .max = 100, .fallback = defaults.long_request_percent}),
         .long_request_after = read_duration_ms(content, "long_request_ms", defaults.long_request_after, 1),
         .retry_budget_percent = read_count(content, "retry_budget_percent",
                                            {.min = 0, .max = 100, .fallback = defaults.retry_budget_percent}),
         .queue_length =
             read_count(content, "queue_length", {.min = 1, .max = 1'000'000, .fallback = defaults.queue_length}),
         .connect_timeout = read_duration_ms(content, "connect_timeout_ms", defaults.connect_timeout, 1)}};
}

void read_maintenance(json_object_reader& content, operator_config_fields& fields)
{
    content.objects("leaving", [&](json_object_reader& source) {
        const member_key key{{.group = source.text("group", {}), .member = source.text("member", {})}};
        static_cast<void>(source.text("reason", {.fallback = ""}));
        const auto group = fields.groups.find(key->group);
        const bool declared = group != fields.groups.end() &&
                              std::any_of(group->second->members.begin(), group->second->members.end(),
                                          [&key](const member_config& member) { return member->name == key->member; });
        if (!declared) {
            source.add_problem("member", key->group + "/" + key->member, "a declared member");
        }
        fields.leaving.insert(key);
    });
    const maintenance_config_fields defaults;
    maintenance_config_fields config{.resume_after =
                                         read_duration_ms(content, "resume_after_ms", defaults.resume_after, 0),
                                     .warm_up = read_duration_ms(content, "warm_up_ms", defaults.warm_up, 0),
                                     .resume = {}};
    content.objects("resume", [&config](json_object_reader& source) {
        config.resume[source.text("object", {})] = source.integer("time", {.min = 0});
    });
    fields.maintenance = maintenance_config{std::move(config)};
}

/// Reads each section after those that it refers to: staleness after tenants, maintenance after databases.
operator_config read_policy(const json& sections, std::vector<json_problem>& problems)
{
    operator_config_fields fields;
    json_object_reader root(sections, "", problems);
    const auto reader_for = [&fields](void (*read)(json_object_reader&, operator_config_fields&)) {
        return [&fields, read](json_object_reader& content) {
            read(content, fields);
        };
    };
    read_section(root, document_part_id::databases, true, reader_for(read_databases));
    read_section(root, document_part_id::tenants, true, reader_for(read_tenants));
    read_section(root, document_part_id::staleness, false, reader_for(read_staleness));
    read_section(root, document_part_id::routing, false, reader_for(read_routing));
    read_section(root, document_part_id::limits, false, reader_for(read_limits));
    read_section(root, document_part_id::maintenance, false, reader_for(read_maintenance));
    root.report_unread_keys();
    return operator_config{std::move(fields)};
}

/// Splits a path such as "routing.content.replica_wait_ms" into the section and the path within its content.
document_problem to_document_problem(const json_problem& problem)
{
    const std::string& path = problem->path;
    const auto dot = path.find('.');
    std::string rest = dot == std::string::npos ? "" : path.substr(dot + 1);
    if (rest.starts_with("content.")) {
        rest = rest.substr(std::string("content.").size());
    }
    const std::string first = path.substr(0, std::min(dot, path.find('[')));
    return document_problem{
        {.section = first, .path = std::move(rest), .found = problem->found, .allowed = problem->allowed}};
}

std::vector<document_problem> to_document_problem(const std::vector<json_problem>& problems)
{
    std::vector<document_problem> list;
    std::transform(problems.begin(), problems.end(), std::back_inserter(list),
                   [](const json_problem& each) { return to_document_problem(each); });
    return list;
}

std::optional<document_part_id> find_part(const std::string& text)
{
    for (std::size_t i = 0; i < part_count; ++i) {
        if (const auto part = static_cast<document_part_id>(i); name(part) == text) {
            return part;
        }
    }
    return std::nullopt;
}

std::string to_text(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string to_hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    const auto end = std::to_chars(text.begin(), text.end(), value, 16);
    return {text.data(), end.ptr};
}

json section_json(const document_section& section)
{
    return {{"owner", section->owner},   {"revision", section->revision}, {"author", section->author},
            {"reason", section->reason}, {"time", section->time},         {"content", json::parse(section->content)}};
}

json overrides_json(const document_state& document)
{
    json list = json::array();
    for (const document_override& each : document->overrides) {
        list.push_back({{"name", each->name},
                        {"author", each->author},
                        {"reason", each->reason},
                        {"time", each->time},
                        {"end", each->end},
                        {"section", name(each->section)},
                        {"path", each->path},
                        {"value", json::parse(each->value)}});
    }
    return list;
}

json history_json(const document_state& document)
{
    json list = json::array();
    for (const document_history_entry& each : document->history) {
        json parts = json::object();
        for (const auto& [part, hash] : each->parts) {
            parts[std::string(name(part))] = to_hex(hash);
        }
        list.push_back({{"revision", each->revision},
                        {"nonce", each->nonce},
                        {"author", each->author},
                        {"reason", each->reason},
                        {"time", each->time},
                        {"parts", parts}});
    }
    return list;
}

json document_json(const document_state& document)
{
    json sections = json::object();
    for (const auto& [part, section] : document->sections) {
        sections[std::string(name(part))] = section_json(section);
    }
    return {{"revision", document->revision},
            {"nonce", document->nonce},
            {"sections", sections},
            {"overrides", overrides_json(document)},
            {"history", history_json(document)}};
}

std::uint64_t read_revision(json_object_reader& source)
{
    return static_cast<std::uint64_t>(source.integer("revision", {.min = 0, .fallback = 0}));
}

document_section read_document_section(json_object_reader& source, const json& raw)
{
    document_section_fields fields{.owner = source.text("owner", {.fallback = ""}),
                                   .revision = read_revision(source),
                                   .author = source.text("author", {.fallback = ""}),
                                   .reason = source.text("reason", {.fallback = ""}),
                                   .time = source.integer("time", {.min = 0, .fallback = 0}),
                                   .content = "{}"};
    if (source.has("content") && raw.is_object()) {
        fields.content = to_text(raw.at("content"));
    } else {
        source.add_problem("content", "nothing", "an object");
    }
    return document_section{std::move(fields)};
}

document_override read_override(json_object_reader& source, const json& raw)
{
    document_override_fields fields{.name = source.text("name", {}),
                                    .author = source.text("author", {}),
                                    .reason = source.text("reason", {}),
                                    .time = source.integer("time", {.min = 0}),
                                    .end = source.integer("end", {.min = 0, .fallback = 0}),
                                    .section = document_part_id::routing,
                                    .path = source.text("path", {}),
                                    .value = "null"};
    const std::string section = source.text("section", {});
    const auto part = find_part(section);
    if (part && static_cast<std::size_t>(*part) < section_count) {
        fields.section = *part;
    } else {
        source.add_problem("section", section, "the name of a section");
    }
    if (source.has("value") && raw.is_object()) {
        fields.value = to_text(raw.at("value"));
    } else {
        source.add_problem("value", "nothing", "a value");
    }
    return document_override{std::move(fields)};
}

document_history_entry read_history_entry(json_object_reader& source, const json& raw)
{
    document_history_entry_fields fields{.revision = read_revision(source),
                                         .nonce = source.text("nonce", {.fallback = ""}),
                                         .author = source.text("author", {.fallback = ""}),
                                         .reason = source.text("reason", {.fallback = ""}),
                                         .time = source.integer("time", {.min = 0, .fallback = 0}),
                                         .parts = {}};
    source.object("parts", true, [&](json_object_reader& parts) {
        const json& list = raw.contains("parts") ? raw.at("parts") : json::object();
        for (const auto& [key, value] : list.items()) {
            const std::string text = parts.text(key, {});
            const auto part = find_part(key);
            std::uint64_t hash = 0;
            const auto end = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
            if (!part || end.ec != std::errc{} || end.ptr != text.data() + text.size()) {
                parts.add_problem(key, text, "the name of a part and a hash");
                continue;
            }
            fields.parts[*part] = hash;
        }
    });
    return document_history_entry{std::move(fields)};
}

template <class Value, class Read>
std::vector<Value> read_list(json_object_reader& source, const std::string& key, const json& raw, Read read)
{
    std::vector<Value> list;
    std::size_t next = 0;
    source.objects(key, [&](json_object_reader& element) { list.push_back(read(element, raw.at(key).at(next++))); });
    return list;
}

document_state read_state(const json& root, std::vector<json_problem>& problems)
{
    json_object_reader source(root, "", problems);
    document_state_fields fields{.revision = read_revision(source), .nonce = source.text("nonce", {.fallback = ""})};
    source.object("sections", true, [&](json_object_reader& sections) {
        const json& raw = root.contains("sections") ? root.at("sections") : json::object();
        for (std::size_t i = 0; i < section_count; ++i) {
            const auto part = static_cast<document_part_id>(i);
            const std::string key(name(part));
            if (sections.has(key)) {
                sections.object(key, true, [&](json_object_reader& section) {
                    fields.sections[part] = read_document_section(section, raw.at(key));
                });
            }
        }
    });
    fields.overrides = read_list<document_override>(source, "overrides", root, read_override);
    fields.history = read_list<document_history_entry>(source, "history", root, read_history_entry);
    source.report_unread_keys();
    return document_state{std::move(fields)};
}

bool active(const document_override& each, std::int64_t now_ms)
{
    return each->end == 0 || each->end > now_ms;
}

/// Applies an override to its section. A path that does not exist is reported as a problem of the overrides.
void apply_override(json& sections, const document_override& each, std::vector<document_problem>& problems)
{
    json& section = sections[std::string(name(each->section))];
    if (!section.is_object()) {
        section = {{"content", json::object()}};
    }
    try {
        const json operation{{"op", "add"}, {"path", each->path}, {"value", json::parse(each->value)}};
        section["content"] = section.at("content").patch(json::array({operation}));
    } catch (const json::exception&) {
        problems.push_back(
            document_problem{{.section = "overrides",
                              .path = each->name + ".path",
                              .found = each->path,
                              .allowed = "a JSON pointer into the section " + std::string(name(each->section))}});
    }
}

document_problem malformed_json(std::string section)
{
    return document_problem{
        {.section = std::move(section), .path = "", .found = "malformed JSON", .allowed = "a JSON value"}};
}

} // namespace

std::variant<document_state, std::vector<document_problem>> document_codec::decode(std::string_view text)
{
    if (text.size() > max_document_bytes) {
        return std::vector{document_problem{{.section = "",
                                             .path = "",
                                             .found = std::to_string(text.size()) + " bytes",
                                             .allowed = "at most " + std::to_string(max_document_bytes)}}};
    }
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded()) {
        return std::vector{malformed_json("")};
    }
    std::vector<json_problem> problems;
    document_state read = read_state(root, problems);
    if (!problems.empty()) {
        return to_document_problem(problems);
    }
    return read;
}

std::string document_codec::encode(const document_state& document)
{
    return to_text(document_json(document));
}

std::string document_codec::encode_readable(const document_state& document)
{
    return document_json(document).dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<document_part> document_codec::split(const document_state& document)
{
    std::vector<document_part> parts;
    for (const auto& [part, section] : document->sections) {
        parts.push_back(
            document_part{{.part = part, .revision = section->revision, .text = to_text(section_json(section))}});
    }
    const auto changed =
        std::find_if(document->history.rbegin(), document->history.rend(), [](const document_history_entry& each) {
            return each->parts.contains(document_part_id::overrides);
        });
    parts.push_back(document_part{{.part = document_part_id::overrides,
                                   .revision = changed == document->history.rend() ? 0 : (*changed)->revision,
                                   .text = to_text(overrides_json(document))}});
    parts.push_back(
        document_part{{.part = document_part_id::history,
                       .revision = document->revision,
                       .text = to_text({{"nonce", document->nonce}, {"entries", history_json(document)}})}});
    return parts;
}

std::variant<document_state, std::vector<document_problem>>
document_codec::join(std::uint64_t revision, const std::vector<document_part>& parts)
{
    json root{{"revision", revision}, {"sections", json::object()}};
    for (const document_part& each : parts) {
        json value = json::parse(each->text, nullptr, false);
        const std::string key(name(each->part));
        if (value.is_discarded()) {
            return std::vector{malformed_json(key)};
        }
        if (each->part == document_part_id::history) {
            root["nonce"] = value.value("nonce", "");
            root["history"] = value.value("entries", json::array());
        } else if (each->part == document_part_id::overrides) {
            root["overrides"] = std::move(value);
        } else {
            root["sections"][key] = std::move(value);
        }
    }
    std::vector<json_problem> problems;
    document_state read = read_state(root, problems);
    if (!problems.empty()) {
        return to_document_problem(problems);
    }
    return read;
}

std::variant<checked_document, std::vector<document_problem>> document_codec::check(const document_state& document,
                                                                                    std::int64_t now_ms)
{
    json sections = json::object();
    for (const auto& [part, section] : document->sections) {
        json content = json::parse(section->content, nullptr, false);
        if (content.is_discarded()) {
            return std::vector{malformed_json(std::string(name(part)))};
        }
        sections[std::string(name(part))] = {{"content", std::move(content)}};
    }
    // The sections must also be valid without the overrides, because overrides end automatically.
    std::vector<json_problem> problems;
    operator_config config = read_policy(sections, problems);
    std::vector<document_problem> found_problems = to_document_problem(problems);
    std::set<std::string> names;
    std::int64_t next_override_end = 0;
    bool overridden = false;
    for (const document_override& each : document->overrides) {
        if (!names.insert(each->name).second) {
            found_problems.push_back(document_problem{{.section = "overrides",
                                                       .path = "name",
                                                       .found = "two overrides named " + each->name,
                                                       .allowed = "unique names"}});
        }
        if (active(each, now_ms)) {
            overridden = true;
            apply_override(sections, each, found_problems);
            next_override_end = next_override_end == 0
                                    ? each->end
                                    : std::min(next_override_end, each->end == 0 ? next_override_end : each->end);
        }
    }
    if (overridden && found_problems.empty()) {
        std::vector<json_problem> found;
        config = read_policy(sections, found);
        for (const document_problem& each : to_document_problem(found)) {
            found_problems.push_back(with(each, [](document_problem_fields& fields) {
                fields.path = fields.section + "." + fields.path;
                fields.section = "overrides";
            }));
        }
    }
    if (const std::size_t size = encode(document).size(); size > max_document_bytes) {
        found_problems.push_back(document_problem{{.section = "",
                                                   .path = "",
                                                   .found = std::to_string(size) + " bytes",
                                                   .allowed = "at most " + std::to_string(max_document_bytes)}});
    }
    if (!found_problems.empty()) {
        return found_problems;
    }
    return checked_document{{.state = document,
                             .parts = split(document),
                             .config = std::move(config),
                             .next_override_end = next_override_end}};
}

std::variant<operator_config, std::vector<document_problem>> document_codec::read(std::string_view text)
{
    auto decoded = decode(text);
    if (auto* problems = std::get_if<std::vector<document_problem>>(&decoded)) {
        return std::move(*problems);
    }
    auto checked = check(std::get<document_state>(decoded), 0);
    if (auto* problems = std::get_if<std::vector<document_problem>>(&checked)) {
        return std::move(*problems);
    }
    return std::get<checked_document>(checked)->config;
}

document_check_result document_codec::check(const document_check_request& input, std::int64_t now_ms)
{
    auto decoded =
        input->source == document_source::platform ? decode(input->text) : join(input->revision, input->parts);
    document_check_result_fields fields{.source = input->source, .entry = input->entry};
    if (auto* problems = std::get_if<std::vector<document_problem>>(&decoded)) {
        fields.problems = std::move(*problems);
        return document_check_result{std::move(fields)};
    }
    auto checked = check(std::get<document_state>(decoded), now_ms);
    if (auto* problems = std::get_if<std::vector<document_problem>>(&checked)) {
        fields.problems = std::move(*problems);
    } else {
        fields.document = std::get<checked_document>(std::move(checked));
    }
    return document_check_result{std::move(fields)};
}

} // namespace citronfall
