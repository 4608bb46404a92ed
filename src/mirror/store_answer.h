#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/store_item.h"
#include "mirror/store_call.h"

#include <string>
#include <vector>

namespace citronfall {

/// How a call to the platform ended.
enum class call_outcome {
    done,
    conflict,     ///< A condition did not hold, a fence was too low or a member cannot be promoted.
    missing,      ///< The lease does not exist.
    history_gone, ///< A watch asked for changes that the store no longer has.
    refused,      ///< The platform answered that nothing was done, or no byte was sent.
    unanswered,   ///< The call may have been carried out, or may be later.
    malformed,    ///< The platform sent something that is no answer to this call.
};

/// Name for logs and counters. Thread-safe.
[[nodiscard]] constexpr const char* call_outcome_name(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::done:
        return "done";
    case call_outcome::conflict:
        return "conflict";
    case call_outcome::missing:
        return "missing";
    case call_outcome::history_gone:
        return "history_gone";
    case call_outcome::refused:
        return "refused";
    case call_outcome::unanswered:
        return "unanswered";
    case call_outcome::malformed:
        break;
    }
    return "malformed";
}

/// Fields of an answer.
struct store_answer_fields {
    call_number number = 0;
    call_outcome outcome = call_outcome::done;
    std::vector<store_item> items; ///< Of a range read, a watch or a conflict.
    bool more_pages = false;       ///< A range read did not reach the end.
    kv_revision revision = 0;      ///< Of the store for reads and watches, of the change for changes.
    lease_number lease = 0;        ///< Granted lease.
    duration time_to_live{};       ///< Of a granted or renewed lease.
    std::string detail;            ///< Why the call did not succeed; for logs.

    friend auto operator<=>(const store_answer_fields&, const store_answer_fields&) = default;
};

/// Message of the store thread to the decision thread.
using store_answer = immutable<store_answer_fields>;

} // namespace citronfall
