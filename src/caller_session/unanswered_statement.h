#pragma once

#include "citronfall/immutable.h"
#include "dispatch/statement_location.h"

#include <string>

namespace citronfall {

/// Fields of an unanswered statement.
struct unanswered_statement_fields {
    std::string request_id;
    statement_location location;

    friend auto operator<=>(const unanswered_statement_fields&, const unanswered_statement_fields&) = default;
};

/// A statement that was read from a caller and had no answer when its session ended.
using unanswered_statement = immutable<unanswered_statement_fields>;

} // namespace citronfall
