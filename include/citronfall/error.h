#pragma once

#include "citronfall/error_kind.h"
#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct error_fields {
    error_kind kind = error_kind::internal;
    std::string detail; ///< Message for the log and the answer; names the object concerned.

    friend auto operator<=>(const error_fields&, const error_fields&) = default;
};

/// Error of a certain kind, with the details of this occurrence.
class error : public immutable<error_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
