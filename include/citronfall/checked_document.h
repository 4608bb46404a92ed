#pragma once

#include "citronfall/document_part.h"
#include "citronfall/document_state.h"
#include "citronfall/immutable.h"
#include "citronfall/operator_config.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct checked_document_fields {
    document_state state;
    std::vector<document_part> parts;   ///< All parts, in order.
    operator_config config;             ///< With the active overrides applied.
    std::int64_t next_override_end = 0; ///< Earliest expiry of an active override, Unix time in ms; 0: none.

    friend auto operator<=>(const checked_document_fields&, const checked_document_fields&) = default;
};

/// Document that passed validation, in the forms in which a daemon uses it.
class checked_document : public immutable<checked_document_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
