#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/store_item.h"
#include "citronfall/store_revision.h"
#include "mirror/store_call.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// How a call to the platform ended.
enum class call_outcome {
    done,
    conflict,     ///< A condition failed, the fencing token was too low or the member cannot be promoted.
    missing,      ///< The lease does not exist.
    history_gone, ///< The store has compacted the changes that a watch asked for.
    refused,      ///< The platform answered that it did nothing, or no byte of the call was sent.
    unanswered,   ///< No answer: the call may have been executed, or may still be.
    too_long,     ///< The answer was longer than a daemon reads; the call may have been executed.
    malformed,    ///< The answer could not be decoded.
};

/// Name of an outcome for logs and counters. Thread-safe.
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
    case call_outcome::too_long:
        return "too_long";
    case call_outcome::malformed:
        break;
    }
    return "malformed";
}

struct store_answer_fields {
    call_number number = 0;
    call_outcome outcome = call_outcome::done;
    std::vector<store_item> items; ///< Result of a range read or a watch, or the present items after a conflict.
    bool more_pages = false;       ///< The range read has further pages.
    store_era era = 0;             ///< Era of the store when it answered; 0: not stated.
    kv_revision revision = 0;      ///< Of the store for reads and watches, of the write for writes.
    lease_number lease = 0;        ///< The granted lease.
    duration time_to_live{};       ///< Of a granted or renewed lease.
    std::string detail;            ///< Why the call did not succeed; for logs.

    friend auto operator<=>(const store_answer_fields&, const store_answer_fields&) = default;
};

/// Answer to a store_call, sent by the store thread to the decision thread.
using store_answer = immutable<store_answer_fields>;

} // namespace citronfall
