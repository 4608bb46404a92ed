#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct kv_entry_fields {
    kv_revision revision = 0; ///< 0: the key does not exist.
    std::string value;

    friend auto operator<=>(const kv_entry_fields&, const kv_entry_fields&) = default;
};

/// Value of a key in the platform's key-value service, with the revision for compare-and-swap.
class kv_entry : public immutable<kv_entry_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
