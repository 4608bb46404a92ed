#pragma once

#include "citronfall/error_kind.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <string>

namespace citronfall {

/// Fields of a refusal.
struct refusal_fields {
    error_kind kind = error_kind::overloaded;
    std::string detail;
    duration retry_after{}; ///< Delay after which a retry may succeed.

    friend auto operator<=>(const refusal_fields&, const refusal_fields&) = default;
};

/// Why a request is not admitted. A refused request has not run, not even in part.
class refusal : public immutable<refusal_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
