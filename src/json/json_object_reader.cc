#include "json/json_object_reader.h"

#include "core/endpoint_address.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

const json empty_object = json::object();

/// The start of a value's text, enough to recognise it in an error message.
std::string excerpt(const json& value)
{
    constexpr std::size_t max_length = 40;
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_length) {
        text = text.substr(0, max_length) + "...";
    }
    return text;
}

std::string describe_range(const integer_rule& rule)
{
    return "an integer from " + std::to_string(rule.min) + " to " + std::to_string(rule.max);
}

std::string describe_allowed(const text_rule& rule)
{
    if (rule.address) {
        return "ip:port with a numeric IP address";
    }
    if (rule.choices.empty()) {
        return "a string that is not empty";
    }
    std::string list;
    for (const std::string& choice : rule.choices) {
        list += (list.empty() ? "" : ", ") + choice;
    }
    return "one of " + list;
}

bool conforms(const std::string& value, const text_rule& rule)
{
    if (rule.address) {
        return endpoint_address::make(value).index() == 0;
    }
    if (!rule.choices.empty()) {
        return std::find(rule.choices.begin(), rule.choices.end(), value) != rule.choices.end();
    }
    return !value.empty() || (rule.fallback && rule.fallback->empty());
}

std::string describe_range(const number_rule& rule)
{
    std::ostringstream text;
    text << "a number from " << rule.min << " to " << rule.max;
    return text.str();
}

} // namespace

json_object_reader::json_object_reader(const json& source, std::string path, std::vector<json_problem>& problems)
    : source_(source.is_object() ? source : empty_object), path_(std::move(path)), problems_(problems)
{
    if (!source.is_object()) {
        problems_.push_back(
            json_problem{{.path = path_.empty() ? "(root)" : path_, .found = excerpt(source), .allowed = "an object"}});
    }
}

void json_object_reader::report_unread_keys() const
{
    for (const auto& [key, value] : source_.items()) {
        if (!read_.contains(key)) {
            std::string known;
            for (const std::string& name : read_) {
                known += (known.empty() ? "" : ", ") + name;
            }
            problems_.push_back(
                json_problem{{.path = path_of(key), .found = "an unknown key", .allowed = "the keys " + known}});
        }
    }
}

bool json_object_reader::has(const std::string& key)
{
    return find(key) != nullptr;
}

std::int64_t json_object_reader::integer(const std::string& key, const integer_rule& rule)
{
    const json* value = find(key);
    if (value == nullptr) {
        if (!rule.fallback) {
            add_problem(key, "nothing", describe_range(rule));
        }
        return rule.fallback.value_or(rule.min);
    }
    const bool is_in_type_range =
        value->is_number_integer() &&
        !(value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(rule.max));
    if (!is_in_type_range || value->get<std::int64_t>() < rule.min || value->get<std::int64_t>() > rule.max) {
        add_problem(key, excerpt(*value), describe_range(rule));
        return rule.fallback.value_or(rule.min);
    }
    return value->get<std::int64_t>();
}

double json_object_reader::number(const std::string& key, const number_rule& rule)
{
    const json* value = find(key);
    const bool allowed =
        value != nullptr && value->is_number() && value->get<double>() >= rule.min && value->get<double>() <= rule.max;
    if (allowed) {
        return value->get<double>();
    }
    if (value != nullptr || !rule.fallback) {
        add_problem(key, value == nullptr ? "nothing" : excerpt(*value), describe_range(rule));
    }
    return rule.fallback.value_or(rule.min);
}

std::string json_object_reader::text(const std::string& key, const text_rule& rule)
{
    const json* value = find(key);
    if (value == nullptr) {
        if (!rule.fallback) {
            add_problem(key, "nothing", describe_allowed(rule));
        }
        return rule.fallback.value_or("");
    }
    if (!value->is_string() || !conforms(value->get<std::string>(), rule)) {
        add_problem(key, excerpt(*value), describe_allowed(rule));
        return rule.fallback.value_or("");
    }
    return value->get<std::string>();
}

bool json_object_reader::boolean(const std::string& key, std::optional<bool> fallback)
{
    const json* value = find(key);
    if (value != nullptr && value->is_boolean()) {
        return value->get<bool>();
    }
    if (value != nullptr || !fallback) {
        add_problem(key, value == nullptr ? "nothing" : excerpt(*value), "true or false");
    }
    return fallback.value_or(false);
}

void json_object_reader::object(const std::string& key, bool required,
                                const std::function<void(json_object_reader&)>& read)
{
    const json* value = find(key);
    if (value == nullptr && required) {
        add_problem(key, "nothing", "an object");
        return;
    }
    json_object_reader nested(value == nullptr ? empty_object : *value, path_of(key), problems_);
    read(nested);
    nested.report_unread_keys();
}

void json_object_reader::objects(const std::string& key, const std::function<void(json_object_reader&)>& read)
{
    const json* value = find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        add_problem(key, excerpt(*value), "a list of objects");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        json_object_reader nested((*value)[i], path_of(key) + "[" + std::to_string(i) + "]", problems_);
        read(nested);
        nested.report_unread_keys();
    }
}

std::vector<std::string> json_object_reader::texts(const std::string& key, const text_rule& rule)
{
    std::vector<std::string> list;
    const json* value = find(key);
    if (value == nullptr) {
        return list;
    }
    if (!value->is_array()) {
        add_problem(key, excerpt(*value), "a list of strings");
        return list;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json& element = (*value)[i];
        if (!element.is_string() || !conforms(element.get<std::string>(), rule)) {
            add_problem(key + "[" + std::to_string(i) + "]", excerpt(element), describe_allowed(rule));
            continue;
        }
        list.push_back(element.get<std::string>());
    }
    return list;
}

void json_object_reader::add_problem(const std::string& key, std::string found, std::string allowed)
{
    problems_.push_back(json_problem{{.path = path_of(key), .found = std::move(found), .allowed = std::move(allowed)}});
}

std::string json_object_reader::path_of(const std::string& key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

const json* json_object_reader::find(const std::string& key)
{
    read_.insert(key);
    const auto found = source_.find(key);
    return found == source_.end() ? nullptr : &*found;
}

} // namespace citronfall
