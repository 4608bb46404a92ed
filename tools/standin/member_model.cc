#include "standin/member_model.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall::standin {
namespace {

using json = nlohmann::json;

/// The fields of a statement without its optional `cost MS` prefix; the last one takes the rest of the line.
struct parsed_statement {
    std::string verb;
    std::string key;
    std::string value;
};

parsed_statement parse(const std::string& statement)
{
    std::istringstream words(statement);
    parsed_statement parsed;
    words >> parsed.verb;
    if (parsed.verb == "cost") {
        std::string milliseconds;
        words >> milliseconds >> parsed.verb;
    }
    words >> parsed.key;
    std::getline(words >> std::ws, parsed.value);
    return parsed;
}

} // namespace

duration member_model::cost(const std::string& statement, duration fallback)
{
    std::istringstream words(statement);
    std::string verb;
    std::int64_t milliseconds = 0;
    words >> verb;
    if (verb == "cost" && words >> milliseconds) {
        return std::chrono::milliseconds(milliseconds);
    }
    return fallback;
}

member_answer member_model::handle(model_session session, const member_call& call, instant now)
{
    switch (call->operation) {
    case member_operation::status:
        return with(answer(member_verdict::done), [this](member_answer_fields& fields) { fields.status = status(); });
    case member_operation::fence:
        return fence(call);
    case member_operation::promote:
        return promote(call, now);
    case member_operation::follow:
        return follow(call);
    case member_operation::statement:
    case member_operation::begin:
    case member_operation::commit:
    case member_operation::rollback:
    case member_operation::resolve:
        break;
    }
    if (call->term != term_) {
        return answer(member_verdict::wrong_term);
    }
    if (call->operation == member_operation::statement) {
        return statement(session, call, now);
    }
    if (!primary_) {
        return answer(member_verdict::not_primary);
    }
    if (call->operation == member_operation::begin) {
        transactions_[session] = {};
        return answer(member_verdict::done);
    }
    if (call->operation == member_operation::commit) {
        return commit(session, call, now);
    }
    if (call->operation == member_operation::rollback) {
        transactions_.erase(session);
        return answer(member_verdict::done);
    }
    return resolve(call, now);
}

member_status member_model::status() const
{
    return member_status{{.member = name_,
                          .role = primary_ ? member_role::primary : member_role::replica,
                          .term = term_,
                          .last_index = log_.size(),
                          .applied_index = log_.size(),
                          .history = term_history{{.starts = history_}}}};
}

void member_model::become_primary(instant now)
{
    primary_ = true;
    followed_.clear();
    history_.push_back(term_start{{.term = term_, .start = log_.size() + 1}});
    append("", {}, now);
}

void member_model::replicate_from(const member_model& primary, instant until)
{
    if (primary_ || !primary.primary_ || primary.term_ != term_) {
        return;
    }
    // Two logs that have an entry with the same position agree on all entries before it.
    std::size_t common = std::min(log_.size(), primary.log_.size());
    while (common > 0 && log_[common - 1]->position != primary.log_[common - 1]->position) {
        --common;
    }
    if (common < log_.size()) {
        truncate(common);
    }
    for (std::size_t i = common; i < primary.log_.size() && primary.log_[i]->written_at <= until; ++i) {
        apply_entry(primary.log_[i]);
    }
}

std::optional<std::string> member_model::value(const std::string& key) const
{
    return read(key, {});
}

member_answer member_model::answer(member_verdict verdict, const log_position& position, std::string result) const
{
    return member_answer{{.verdict = verdict, .term = term_, .position = position, .result = std::move(result)}};
}

member_answer member_model::recorded_outcome(const log_entry& entry) const
{
    return answer(entry->verdict, entry->position, entry->result);
}

const log_entry* member_model::find_request(const std::string& request_id) const
{
    const auto found = requests_.find(request_id);
    return request_id.empty() || found == requests_.end() ? nullptr : &log_[found->second - 1];
}

std::optional<std::string> member_model::read(const std::string& key, const changes& pending) const
{
    if (const auto changed = pending.find(key); changed != pending.end()) {
        return changed->second;
    }
    const auto found = data_.find(key);
    return found == data_.end() ? std::nullopt : std::optional(found->second);
}

member_model::execution member_model::execute(const std::string& statement, const changes& pending) const
{
    const parsed_statement parsed = parse(statement);
    if (parsed.verb == "get") {
        const auto found = read(parsed.key, pending);
        return {.result = found ? json(*found).dump() : "null"};
    }
    if (parsed.verb == "list") {
        json rows = json::object();
        for (auto row = data_.lower_bound(parsed.key); row != data_.end() && row->first.starts_with(parsed.key);
             ++row) {
            rows[row->first] = row->second;
        }
        return {.result = rows.dump()};
    }
    if (parsed.verb == "book") {
        if (const auto taken = read(parsed.key, pending)) {
            return {.verdict = member_verdict::conflict, .result = json(*taken).dump()};
        }
    }
    if (parsed.verb == "book" || parsed.verb == "set") {
        return {.result = json(parsed.value).dump(), .writes = {{parsed.key, parsed.value}}};
    }
    if (parsed.verb == "delete") {
        return {.result = "null", .writes = {{parsed.key, std::nullopt}}};
    }
    return {.verdict = member_verdict::conflict, .result = json("unknown statement").dump()};
}

member_answer member_model::statement(model_session session, const member_call& call, instant now)
{
    const auto transaction = transactions_.find(session);
    if (call->kind == statement_kind::read) {
        if (!status().covers(call->minimum)) {
            return answer(member_verdict::behind);
        }
        const execution outcome =
            execute(call->statement, transaction == transactions_.end() ? changes{} : transaction->second);
        return answer(outcome.verdict, status().last_position(), outcome.result);
    }
    if (!primary_) {
        return answer(member_verdict::not_primary);
    }
    if (transaction != transactions_.end()) {
        const execution outcome = execute(call->statement, transaction->second);
        for (const auto& [key, changed] : outcome.writes) {
            transaction->second[key] = changed;
        }
        return answer(outcome.verdict, status().last_position(), outcome.result);
    }
    if (const log_entry* earlier = find_request(call->request_id)) {
        return recorded_outcome(*earlier);
    }
    return recorded_outcome(append(call->request_id, execute(call->statement, {}), now));
}

member_answer member_model::commit(model_session session, const member_call& call, instant now)
{
    if (const log_entry* earlier = find_request(call->request_id)) {
        transactions_.erase(session);
        return recorded_outcome(*earlier);
    }
    const auto transaction = transactions_.find(session);
    if (transaction == transactions_.end()) {
        return answer(member_verdict::no_transaction);
    }
    const execution outcome{.result = "null", .writes = transaction->second};
    transactions_.erase(transaction);
    return recorded_outcome(append(call->request_id, outcome, now));
}

member_answer member_model::resolve(const member_call& call, instant now)
{
    if (const log_entry* earlier = find_request(call->request_id)) {
        return recorded_outcome(*earlier);
    }
    return recorded_outcome(append(call->request_id, {.verdict = member_verdict::cancelled}, now));
}

member_answer member_model::fence(const member_call& call)
{
    if (call->term < term_) {
        return answer(member_verdict::wrong_term);
    }
    if (call->term > term_) {
        term_ = call->term;
        fenced_ = true;
        primary_ = false;
        followed_.clear();
        transactions_.clear();
    }
    return with(answer(member_verdict::done), [this](member_answer_fields& fields) { fields.status = status(); });
}

member_answer member_model::promote(const member_call& call, instant now)
{
    // A member that follows a primary of its term must not become a second primary.
    if (call->term != term_ || (!primary_ && !fenced_)) {
        return answer(member_verdict::wrong_term);
    }
    if (!primary_) {
        become_primary(now);
    }
    return answer(member_verdict::done, status().last_position());
}

member_answer member_model::follow(const member_call& call)
{
    if (call->term < term_ || (call->term == term_ && primary_)) {
        return answer(member_verdict::wrong_term);
    }
    term_ = call->term;
    fenced_ = false;
    primary_ = false;
    transactions_.clear();
    followed_ = call->primary_address;
    return answer(member_verdict::done);
}

const log_entry& member_model::append(const std::string& request_id, const execution& outcome, instant now)
{
    apply_entry(log_entry{{.position = log_position{{.term = term_, .index = log_.size() + 1}},
                           .written_at = now,
                           .request_id = request_id,
                           .changes = outcome.writes,
                           .verdict = outcome.verdict,
                           .result = outcome.result}});
    return log_.back();
}

void member_model::apply_entry(const log_entry& entry)
{
    if (history_.empty() || history_.back()->term != entry->position->term) {
        history_.push_back(term_start{{.term = entry->position->term, .start = entry->position->index}});
    }
    for (const auto& [key, changed] : entry->changes) {
        if (changed) {
            data_[key] = *changed;
        } else {
            data_.erase(key);
        }
    }
    if (!entry->request_id.empty()) {
        requests_[entry->request_id] = entry->position->index;
    }
    log_.push_back(entry);
}

void member_model::truncate(std::size_t length)
{
    std::vector<log_entry> kept(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(length));
    log_.clear();
    history_.clear();
    data_.clear();
    requests_.clear();
    for (const log_entry& entry : kept) {
        apply_entry(entry);
    }
}

} // namespace citronfall::standin
