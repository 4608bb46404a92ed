#include "upstream/member_codec.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

struct operation_row {
    member_operation operation;
    std::string_view method;
    std::string_view target;
};

constexpr auto operations = std::to_array<operation_row>({
    {member_operation::statement, "POST", "/statement"},
    {member_operation::begin, "POST", "/begin"},
    {member_operation::commit, "POST", "/commit"},
    {member_operation::rollback, "POST", "/rollback"},
    {member_operation::resolve, "POST", "/resolve"},
    {member_operation::status, "GET", "/status"},
    {member_operation::fence, "POST", "/fence"},
    {member_operation::promote, "POST", "/promote"},
    {member_operation::follow, "POST", "/follow"},
});

struct verdict_row {
    member_verdict verdict;
    std::string_view name;
    int status;
};

constexpr auto verdicts = std::to_array<verdict_row>({
    {member_verdict::done, "done", 200},
    {member_verdict::wrong_term, "wrong_term", 409},
    {member_verdict::behind, "behind", 409},
    {member_verdict::conflict, "conflict", 409},
    {member_verdict::cancelled, "cancelled", 409},
    {member_verdict::no_slot, "no_slot", 503},
    {member_verdict::not_primary, "not_primary", 409},
    {member_verdict::no_transaction, "no_transaction", 409},
    {member_verdict::malformed, "malformed", 400},
});

constexpr bool in_order()
{
    for (std::size_t i = 0; i < operations.size(); ++i) {
        if (static_cast<std::size_t>(operations[i].operation) != i) {
            return false;
        }
    }
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
        if (static_cast<std::size_t>(verdicts[i].verdict) != i) {
            return false;
        }
    }
    return true;
}

static_assert(in_order(), "the rows must be in the order of the enumerators");

json history_to_json(const term_history& history)
{
    json list = json::array();
    for (const term_start& start : history->starts) {
        list.push_back({{"term", start->term}, {"start", start->start}});
    }
    return list;
}

term_history history_from_json(const json& list)
{
    term_history_fields fields;
    for (const json& start : list) {
        fields.starts.push_back(term_start{{.term = start.at("term"), .start = start.at("start")}});
    }
    return term_history{std::move(fields)};
}

json status_to_json(const member_status& status)
{
    return {{"member", status->member},
            {"role", status->role == member_role::primary ? "primary" : "replica"},
            {"term", status->term},
            {"last_index", status->last_index},
            {"applied_index", status->applied_index},
            {"history", history_to_json(status->history)},
            {"connections", status->connections}};
}

member_status status_from_json(const json& source)
{
    return member_status{{.member = source.at("member"),
                          .role = source.at("role") == "primary" ? member_role::primary : member_role::replica,
                          .term = source.at("term"),
                          .last_index = source.at("last_index"),
                          .applied_index = source.at("applied_index"),
                          .history = history_from_json(source.at("history")),
                          .connections = source.value("connections", 0U)}};
}

const verdict_row& row_of(member_verdict verdict)
{
    return verdicts[static_cast<std::size_t>(verdict)];
}

} // namespace

http_request member_codec::encode(const member_call& call)
{
    const operation_row& row = operations[static_cast<std::size_t>(call->operation)];
    http_request_fields fields{.method = std::string(row.method), .target = std::string(row.target)};
    if (call->operation != member_operation::status) {
        const json body{{"term", call->term},
                        {"request_id", call->request_id},
                        {"kind", call->kind == statement_kind::write ? "write" : "read"},
                        {"statement", call->statement},
                        {"min_term", call->minimum->term},
                        {"min_index", call->minimum->index},
                        {"primary", call->primary_address}};
        fields.body = body.dump();
    }
    return http_request{std::move(fields)};
}

member_answer member_codec::decode(const http_reply& reply)
{
    try {
        const json body = json::parse(reply->body);
        const std::string name = body.at("verdict");
        const auto row =
            std::find_if(verdicts.begin(), verdicts.end(), [&](const verdict_row& each) { return each.name == name; });
        if (row == verdicts.end()) {
            return member_answer{};
        }
        member_answer_fields fields{
            .verdict = row->verdict,
            .term = body.at("term"),
            .position = log_position{{.term = body.at("position_term"), .index = body.at("position_index")}}};
        if (body.contains("result")) {
            fields.result = body.at("result").dump();
        }
        if (body.contains("status")) {
            fields.status = status_from_json(body.at("status"));
        }
        return member_answer{std::move(fields)};
    } catch (const json::exception&) {
        return member_answer{};
    }
}

std::optional<member_call> member_codec::decode(const http_request& request)
{
    const auto row = std::find_if(operations.begin(), operations.end(), [&](const operation_row& each) {
        return each.target == request->target && each.method == request->method;
    });
    if (row == operations.end()) {
        return std::nullopt;
    }
    try {
        const json body = request->body.empty() ? json::object() : json::parse(request->body);
        return member_call{
            {.operation = row->operation,
             .term = body.value("term", term_number{0}),
             .request_id = body.value("request_id", ""),
             .kind = body.value("kind", "read") == "write" ? statement_kind::write : statement_kind::read,
             .statement = body.value("statement", ""),
             .minimum = log_position{{.term = body.value("min_term", term_number{0}),
                                      .index = body.value("min_index", log_index{0})}},
             .primary_address = body.value("primary", "")}};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

http_reply member_codec::encode(const member_answer& answer)
{
    json body{{"verdict", row_of(answer->verdict).name},
              {"term", answer->term},
              {"position_term", answer->position->term},
              {"position_index", answer->position->index}};
    if (!answer->result.empty()) {
        body["result"] = json::parse(answer->result, nullptr, false);
    }
    if (answer->status) {
        body["status"] = status_to_json(*answer->status);
    }
    return http_reply{{.status = row_of(answer->verdict).status, .body = body.dump()}};
}

} // namespace citronfall
