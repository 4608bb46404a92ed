#include "caller_session/session_end.h"

namespace citronfall {
namespace {

const char* transaction_name(transaction_state state)
{
    switch (state) {
    case transaction_state::none:
        return "none";
    case transaction_state::open:
        return "open";
    case transaction_state::failed:
        break;
    }
    return "failed";
}

std::string optional_field(const std::string& key, const std::string& value)
{
    return value.empty() ? std::string{} : " " + key + "=" + value;
}

} // namespace

std::string log_fields(const unanswered_statement& statement)
{
    const statement_location& location = statement->location;
    return "id=" + statement->request_id + " stage=" + statement_stage_name(location->stage) +
           optional_field("member", location->member) + optional_field("peer", location->peer);
}

std::string log_fields(const session_end& end)
{
    const std::string oldest = end->pending.empty() ? std::string{} : " " + log_fields(end->pending.front());
    return "session=" + std::to_string(end->session) + " database=" + end->database +
           " reason=" + std::string(session_end_reason_name(end->reason)) +
           " transaction=" + transaction_name(end->transaction) +
           optional_field("transaction_peer", end->transaction_peer) +
           " unsent_bytes=" + std::to_string(end->unsent_bytes) + " unread_bytes=" + std::to_string(end->unread_bytes) +
           " unanswered=" + std::to_string(end->pending.size()) + oldest;
}

} // namespace citronfall
