#include "standin/platform_server.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall::standin {
namespace {

using json = nlohmann::json;

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Value of a parameter in "name=value&name=value"; empty if it is missing.
std::string parameter(const std::string& query, const std::string& name)
{
    const auto at = query.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 1;
    return query.substr(start, query.find('&', start) - start);
}

http_reply entry_reply(int status, const kv_entry& entry)
{
    return http_reply{{.status = status, .body = json{{"revision", entry->revision}, {"value", entry->value}}.dump()}};
}

const http_reply bad_request_reply{{.status = 400, .body = "{}"}};

} // namespace

result<std::unique_ptr<platform_server>> platform_server::make(http_server& loop, platform_server_options options)
{
    std::unique_ptr<platform_server> server(new platform_server(loop, std::move(options)));
    const auto opened = server->open();
    if (!ok(opened)) {
        return error_of(opened);
    }
    return server;
}

result<done> platform_server::open()
{
    auto opened = loop_.listen({.address = options_.address,
                                .handle = [this](session_number, const http_request& request, const reply_hook& reply) {
                                    handle_request(request, reply);
                                }});
    if (!ok(opened)) {
        return opened;
    }
    return loop_.listen({.address = options_.admin_address,
                         .handle = [this](session_number, const http_request& request, const reply_hook& reply) {
                             handle_admin_request(request, reply);
                         }});
}

void platform_server::handle_request(const http_request& request, const reply_hook& reply)
{
    ++calls_;
    if (outage_) {
        return; // The call ends at its caller's deadline.
    }
    loop_.after(delay_, [this, request, reply] { answer(request, reply); });
}

void platform_server::answer(const http_request& request, const reply_hook& reply)
{
    const std::string& target = request->target;
    if (target.starts_with("/kv/") && request->method == "GET") {
        reply(entry_reply(200, model_.read(target.substr(4))));
    } else if (target.starts_with("/kv/")) {
        write(target.substr(4), request, reply);
    } else if (target.starts_with("/lease/")) {
        lease(target.substr(7), request, reply);
    } else if (target.starts_with("/watch/")) {
        watch(target.substr(7), reply);
    } else if (target == "/instances") {
        reply(http_reply{{.body = json{{"instances", options_.instances}}.dump()}});
    } else {
        reply(bad_request_reply);
    }
}

void platform_server::write(const std::string& key, const http_request& request, const reply_hook& reply)
{
    const json body = json::parse(request->body, nullptr, false);
    if (!body.is_object() || !body.contains("expected_revision") || !body.contains("value")) {
        reply(bad_request_reply);
        return;
    }
    const auto written = model_.compare_and_swap(key, body.at("expected_revision"), body.at("value"));
    if (written) {
        answer_watches();
        if (answers_to_lose_ > 0) {
            --answers_to_lose_;
            return;
        }
    }
    reply(written ? entry_reply(200, *written) : entry_reply(409, model_.read(key)));
}

void platform_server::lease(const std::string& key, const http_request& request, const reply_hook& reply)
{
    const json body = json::parse(request->body, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("ttl_ms")) {
        reply(bad_request_reply);
        return;
    }
    const bool held =
        model_.lease(key, body.at("holder"), std::chrono::milliseconds(body.at("ttl_ms").get<int>()), steady_now());
    reply(http_reply{{.body = json{{"held", held}}.dump()}});
}

void platform_server::watch(const std::string& query, const reply_hook& reply)
{
    const auto mark = query.find('?');
    const std::string key = query.substr(0, mark);
    const std::string parameters = mark == std::string::npos ? "" : query.substr(mark + 1);
    const duration wait = std::chrono::milliseconds(parse_number(parameter(parameters, "wait_ms")));
    watches_.push_back(waiting_watch{.key = key,
                                     .after = parse_number(parameter(parameters, "after")),
                                     .until = steady_now() + wait,
                                     .reply = reply});
    answer_watches();
    loop_.after(wait, [this] { answer_watches(); });
}

void platform_server::answer_watches()
{
    const instant now = steady_now();
    std::erase_if(watches_, [&](const waiting_watch& each) {
        const kv_entry entry = model_.read(each.key);
        if (entry->revision <= each.after && now < each.until) {
            return false;
        }
        each.reply(entry_reply(200, entry));
        return true;
    });
}

void platform_server::handle_admin_request(const http_request& request, const reply_hook& reply)
{
    const auto slash = request->target.find('/', 1);
    const std::string verb = request->target.substr(0, slash);
    const std::string argument = slash == std::string::npos ? "" : request->target.substr(slash + 1);
    if (verb == "/delay") {
        delay_ = std::chrono::milliseconds(parse_number(argument));
    } else if (verb == "/outage") {
        outage_ = argument == "on";
    } else if (verb == "/lose_answers") {
        answers_to_lose_ = parse_number(argument);
    } else if (verb == "/instances") {
        const json list = json::parse(request->body, nullptr, false);
        if (list.is_array()) {
            options_.instances = list.get<std::vector<std::string>>();
        }
    } else if (verb != "/calls") {
        reply(http_reply{{.status = 404, .body = "{}"}});
        return;
    }
    reply(http_reply{{.body = json{{"calls", calls_}}.dump()}});
}

} // namespace citronfall::standin
