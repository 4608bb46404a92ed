#include "kv_store.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

using json = nlohmann::json;

/// Time that the store takes for an answer.
constexpr milliseconds answer_time{4};

/// Time for which the store keeps its history.
constexpr milliseconds history_time{20'000};

constexpr std::size_t page_items = 500;

std::string base64(const std::string& bytes)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto byte = [&](std::size_t at) -> std::uint32_t {
            return at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U;
        };
        const std::uint32_t group = (byte(i) << 16U) | (byte(i + 1) << 8U) | byte(i + 2);
        text.push_back(letters[(group >> 18U) & 63U]);
        text.push_back(letters[(group >> 12U) & 63U]);
        text.push_back(i + 1 < bytes.size() ? letters[(group >> 6U) & 63U] : '=');
        text.push_back(i + 2 < bytes.size() ? letters[group & 63U] : '=');
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    const auto value_of = [](char c) -> std::uint32_t {
        if (c >= 'A' && c <= 'Z') {
            return static_cast<std::uint32_t>(c - 'A');
        }
        if (c >= 'a' && c <= 'z') {
            return static_cast<std::uint32_t>(c - 'a' + 26);
        }
        if (c >= '0' && c <= '9') {
            return static_cast<std::uint32_t>(c - '0' + 52);
        }
        return c == '+' ? 62U : 63U;
    };
    std::string bytes;
    std::uint32_t held = 0;
    unsigned bits = 0;
    for (const char c : text) {
        if (c == '=') {
            break;
        }
        held = (held << 6U) | value_of(c);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>((held >> bits) & 0xFFU));
        }
    }
    return bytes;
}

std::string parameter(const http_request& request, const char* name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

std::uint64_t number_after(const std::string& path, const std::string& prefix)
{
    return std::stoull(path.substr(prefix.size()));
}

} // namespace

kv_store::kv_store(event_loop& loop) : loop_(loop)
{
    constexpr milliseconds check_interval{20};
    loop_.every(check_interval, [this] {
        advance();
        answer_watches();
    });
}

std::string kv_store::encoded(const std::string& key, const item& each)
{
    return "{\"Key\":" + json(key).dump() + ",\"Value\":\"" + base64(each.value) +
           "\",\"Revision\":" + std::to_string(each.revision) + ",\"Created\":" + std::to_string(each.created) +
           ",\"Lease\":" + std::to_string(each.lease) + "}";
}

void kv_store::handle(const http_request& request, const http_server::answer_function& answer)
{
    loop_.after(answer_time, [this, request, answer] {
        advance();
        if (request.path == "/-/kv-watch") {
            watches_.push_back({.prefix = parameter(request, "PathPrefix"),
                                .after = std::stoull(parameter(request, "after")),
                                .until = event_loop::now() + milliseconds(std::stoll(parameter(request, "WaitMs"))),
                                .answer = answer});
        } else {
            answer(answer_now(request));
        }
        answer_watches();
    });
}

http_response kv_store::answer_now(const http_request& request)
{
    if (request.path == "/-/kv-range") {
        return range(request);
    }
    if (request.path == "/-/kv-key") {
        const std::string key = parameter(request, "Key");
        const auto found = items_.find(key);
        if (found == items_.end()) {
            return {.status = 404, .body = "{}"};
        }
        json body = json::parse(found->second.json);
        body["StoreRevision"] = revision_;
        return {.status = 200, .body = body.dump()};
    }
    if (request.path == "/-/kv-txn") {
        return change(json::parse(request.body));
    }
    if (request.path == "/-/kv-lease") {
        return grant(json::parse(request.body));
    }
    if (request.path.starts_with("/-/kv-keep/")) {
        return renew(number_after(request.path, "/-/kv-keep/"));
    }
    if (request.path.starts_with("/-/kv-lease-end/")) {
        return end(number_after(request.path, "/-/kv-lease-end/"));
    }
    return {.status = 404, .body = "{}"};
}

http_response kv_store::range(const http_request& request) const
{
    const std::string prefix = parameter(request, "PathPrefix");
    const std::string after = parameter(request, "after");
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto each = items_.lower_bound(prefix); each != items_.end() && each->first.starts_with(prefix); ++each) {
        if (!after.empty() && each->first <= after) {
            continue;
        }
        if (count == page_items) {
            more = true;
            break;
        }
        items += (count++ == 0 ? "" : ",") + each->second.json;
    }
    return {.status = 200,
            .body = "{\"items\":[" + items + "],\"MorePages\":" + (more ? "true" : "false") +
                    ",\"StoreRevision\":" + std::to_string(revision_) + "}"};
}

http_response kv_store::change(const json& body)
{
    bool holds = true;
    std::string present;
    for (const json& each : body.value("Expect", json::array())) {
        const auto found = items_.find(each.at("Key").get<std::string>());
        const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == each.at("Revision").get<std::uint64_t>();
        if (found != items_.end()) {
            present += (present.empty() ? "" : ",") + found->second.json;
        }
    }
    if (!holds) {
        return {.status = 412, .body = "{\"items\":[" + present + "]}"};
    }
    const json writes = body.value("Writes", json::array());
    for (const json& each : writes) {
        const auto key = each.at("Key").get<std::string>();
        const std::uint64_t lease = each.value("Lease", std::uint64_t{0});
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {.status = 403, .body = "{}"};
        }
        if (lease != 0 && !leases_.contains(lease)) {
            return {.status = 404, .body = "{}"};
        }
    }
    for (const json& each : writes) {
        put(each.at("Key").get<std::string>(), from_base64(each.at("Value").get<std::string>()),
            each.value("Lease", std::uint64_t{0}));
    }
    for (const json& each : body.value("Deletes", json::array())) {
        remove(each.get<std::string>());
    }
    return {.status = 200, .body = json{{"Revision", revision_}}.dump()};
}

http_response kv_store::grant(const json& body)
{
    const auto ttl_ms = body.at("TtlMs").get<std::uint64_t>();
    leases_[++last_lease_] = {.until = event_loop::now() + milliseconds(ttl_ms), .ttl_ms = ttl_ms};
    return {.status = 200, .body = json{{"Lease", last_lease_}, {"TtlMs", ttl_ms}}.dump()};
}

http_response kv_store::renew(std::uint64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return {.status = 404, .body = "{}"};
    }
    found->second.until = event_loop::now() + milliseconds(found->second.ttl_ms);
    return {.status = 200, .body = json{{"Lease", lease}, {"TtlMs", found->second.ttl_ms}}.dump()};
}

http_response kv_store::end(std::uint64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return {.status = 404, .body = "{}"};
    }
    found->second.until = event_loop::now();
    advance();
    return {.status = 200, .body = "{}"};
}

std::uint64_t kv_store::put(const std::string& key, const std::string& value, std::uint64_t lease)
{
    item& each = items_[key];
    each.value = value;
    each.revision = ++revision_;
    each.created = each.created == 0 ? revision_ : each.created;
    each.lease = lease;
    each.json = encoded(key, each);
    note(key);
    return revision_;
}

void kv_store::remove(const std::string& key)
{
    if (items_.erase(key) > 0) {
        ++revision_;
        note(key);
    }
}

/// Adds the present state of a key to the history.
void kv_store::note(const std::string& key)
{
    const auto found = items_.find(key);
    history_.push_back({.revision = revision_,
                        .key = key,
                        .json = found != items_.end()
                                    ? found->second.json
                                    : json{{"Key", key}, {"Revision", revision_}, {"Deleted", true}}.dump(),
                        .at = event_loop::now()});
}

/// Ends the leases that are due, and drops what is older than the history.
void kv_store::advance()
{
    const auto now = event_loop::now();
    std::erase_if(leases_, [now](const auto& each) { return each.second.until <= now; });
    std::vector<std::string> ended;
    for (const auto& [key, each] : items_) {
        if (each.lease != 0 && !leases_.contains(each.lease)) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        remove(key);
    }
    while (!history_.empty() && now - history_.front().at > history_time) {
        forgotten_to_ = history_.front().revision;
        history_.pop_front();
    }
}

void kv_store::answer_watches()
{
    for (auto each = watches_.begin(); each != watches_.end();) {
        each = answer_watch(*each) ? watches_.erase(each) : std::next(each);
    }
}

bool kv_store::answer_watch(const waiting_watch& watch)
{
    if (watch.after < forgotten_to_) {
        watch.answer({.status = 410, .body = "{}"});
        return true;
    }
    std::string events;
    for (const event& each : history_) {
        if (each.revision > watch.after && each.key.starts_with(watch.prefix)) {
            events += (events.empty() ? "" : ",") + each.json;
        }
    }
    if (events.empty() && event_loop::now() < watch.until) {
        return false;
    }
    const http_response response{
        .status = 200, .body = "{\"events\":[" + events + "],\"StoreRevision\":" + std::to_string(revision_) + "}"};
    longest_watch_answer_ = std::max(longest_watch_answer_, response.body.size());
    watch.answer(response);
    return true;
}

} // namespace review
