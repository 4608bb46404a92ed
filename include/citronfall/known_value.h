#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct known_value_fields {
    std::string key;
    kv_revision revision = 0;

    friend auto operator<=>(const known_value_fields&, const known_value_fields&) = default;
};

/// A large value of the store that a daemon holds, so that a later value of the key can be sent as a difference from
/// it.
using known_value = immutable<known_value_fields>;

} // namespace citronfall
