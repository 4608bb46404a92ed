#include "frontend/caller_codec.h"

#include "citronfall/error_table.h"
#include "frontend/operator_codec.h"
#include "metrics/metrics_text.h"
#include "json/json_object_reader.h"

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

constexpr std::int64_t max_deadline_ms = 10 * 60 * 1000;
constexpr const char* session_header = "citronfall-session";

error first_problem_error(const std::vector<json_problem>& problems)
{
    return error{{.kind = error_kind::bad_request, .detail = problems.front().text()}};
}

std::optional<session_token> read_session(const http_request& message)
{
    const auto header = message->headers.find(session_header);
    if (header == message->headers.end()) {
        return std::nullopt;
    }
    auto token = session_token::make(header->second);
    return ok(token) ? std::optional(take(std::move(token))) : std::nullopt;
}

/// Operation and transaction id that follow from a request's method and target.
struct route {
    caller_operation operation;
    std::string transaction;
};

std::optional<route> find_route(const http_request& message)
{
    constexpr std::string_view transactions = "/v1/transactions";
    const std::string_view target = message->target;
    if (message->method != "POST") {
        return std::nullopt;
    }
    if (target == "/v1/statements") {
        return route{.operation = caller_operation::statement, .transaction = {}};
    }
    if (target == transactions) {
        return route{.operation = caller_operation::begin, .transaction = {}};
    }
    if (!target.starts_with("/v1/transactions/")) {
        return std::nullopt;
    }
    const std::string_view path = target.substr(transactions.size() + 1);
    const std::size_t slash = path.find('/');
    const std::string_view verb = slash == std::string_view::npos ? "" : path.substr(slash + 1);
    for (const auto& [name, operation] :
         {std::pair{"statements", caller_operation::transaction_statement},
          std::pair{"commit", caller_operation::commit}, std::pair{"rollback", caller_operation::rollback}}) {
        if (verb == name && slash > 0) {
            return route{.operation = operation, .transaction = std::string(path.substr(0, slash))};
        }
    }
    return std::nullopt;
}

/// Reads tenant, class and group. Requests within a transaction inherit them from its begin.
void read_scope(json_object_reader& root, caller_request_fields& fields)
{
    if (fields.operation == caller_operation::statement || fields.operation == caller_operation::begin) {
        fields.tenant = root.text("tenant", {});
        fields.class_name = root.text("class", {});
        fields.group = root.text("group", {});
    }
}

void read_statement(json_object_reader& root, caller_request_fields& fields)
{
    fields.kind =
        root.text("kind", {.choices = {"read", "write"}}) == "write" ? statement_kind::write : statement_kind::read;
    fields.statement = root.text("statement", {});
    if (fields.operation == caller_operation::transaction_statement) {
        return; // The request id of a transaction is sent with its commit.
    }
    fields.request_id = root.text("request_id", {.fallback = ""});
    fields.repeatable = root.boolean("repeatable", false);
    fields.retry = root.boolean("retry", false);
    if (root.has("max_staleness_ms")) {
        fields.max_staleness =
            std::chrono::milliseconds(root.integer("max_staleness_ms", {.min = 1, .max = max_deadline_ms}));
    }
    if (fields.kind == statement_kind::write && fields.request_id.empty()) {
        root.add_problem("request_id", "nothing", "a string, because writes run at most once by their id");
    }
}

http_reply json_reply(int status, const json& body)
{
    return http_reply{{.status = status,
                       .headers = {{"content-type", "application/json"}},
                       .body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"}};
}

} // namespace

result<caller_request> caller_codec::decode(const http_request& message, request_handle handle, instant now)
{
    const auto target = find_route(message);
    if (!target) {
        return error{{.kind = error_kind::bad_request,
                      .detail = "no such resource: " + message->method + " " + message->target}};
    }
    const json source = json::parse(message->body.empty() ? "{}" : message->body, nullptr, false);
    if (source.is_discarded()) {
        return error{{.kind = error_kind::bad_request, .detail = "the body is not JSON"}};
    }
    std::vector<json_problem> problems;
    json_object_reader root(source, "", problems);
    caller_request_fields fields{.handle = handle,
                                 .operation = target->operation,
                                 .received = now,
                                 .deadline = instant::max(),
                                 .session = read_session(message),
                                 .transaction = target->transaction};
    read_scope(root, fields);
    switch (target->operation) {
    case caller_operation::statement:
    case caller_operation::transaction_statement:
        read_statement(root, fields);
        break;
    case caller_operation::commit:
        fields.request_id = root.text("request_id", {});
        fields.retry = root.boolean("retry", false);
        break;
    case caller_operation::begin:
    case caller_operation::rollback:
        break;
    }
    if (root.has("deadline_ms")) {
        fields.deadline =
            now + std::chrono::milliseconds(root.integer("deadline_ms", {.min = 1, .max = max_deadline_ms}));
    }
    root.report_unread_keys();
    if (!problems.empty()) {
        return first_problem_error(problems);
    }
    return caller_request{std::move(fields)};
}

http_reply caller_codec::encode(const caller_answer& answer)
{
    json body;
    int status = 200;
    if (answer->failure) {
        const error_row& row = error_row_for(*answer->failure);
        status = row.http_status;
        body = {{"outcome", name(row.effect)},
                {"error", row.name},
                {"text", row.text},
                {"detail", answer->detail},
                {"may_retry", row.may_retry}};
    } else {
        body = {{"outcome", name(outcome::done)}};
    }
    body["evidence"] = name(answer->evidence);
    if (!answer->result.empty()) {
        body["result"] = json::parse(answer->result, nullptr, false);
    }
    if (!answer->transaction.empty()) {
        body["transaction"] = answer->transaction;
    }
    if (answer->retry_after) {
        body["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*answer->retry_after).count();
    }
    return with(json_reply(status, body), [&](http_reply_fields& fields) {
        fields.headers[session_header] = answer->session.encode();
        if (answer->close_connection) {
            fields.headers["connection"] = "close";
        }
    });
}

http_reply caller_codec::encode(const health_report& report)
{
    return json_reply(report->ready ? 200 : 503, {{"ready", report->ready}, {"state", report->reason}});
}

http_reply caller_codec::encode(const metrics_report& report)
{
    return http_reply{{.status = 200, .headers = {{"content-type", "text/plain"}}, .body = metrics_text(report)}};
}

http_reply caller_codec::encode(const operator_report& report)
{
    return operator_codec::encode(report);
}

} // namespace citronfall
