#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "citronfall/member_answer.h"

#include <map>
#include <optional>
#include <string>

namespace citronfall::standin {

/// Fields of a log entry.
struct log_entry_fields {
    log_position position;
    instant written_at;
    std::string request_id;                                    ///< Empty for term starts.
    std::map<std::string, std::optional<std::string>> changes; ///< New value by key; no value: the key is deleted.
    member_verdict verdict = member_verdict::done;             ///< Outcome that is kept for the request id.
    std::string result;                                        ///< Result that is kept for the request id.

    friend auto operator<=>(const log_entry_fields&, const log_entry_fields&) = default;
};

/// An entry of a group's replicated log, with the outcome of the request that wrote it.
class log_entry : public immutable<log_entry_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall::standin
