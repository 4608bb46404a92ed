#pragma once

#include "citronfall/immutable.h"

#include <map>
#include <string>

namespace citronfall {

/// Fields of a prepared shape.
struct prepared_shape_fields {
    std::string shape;
    bool writes = false;

    friend auto operator<=>(const prepared_shape_fields&, const prepared_shape_fields&) = default;
};

/// Statement shape that a prepared name of a session stands for.
using prepared_shape = immutable<prepared_shape_fields>;

/// Session values by name, either acknowledged to a caller or set on a connection.
using session_values = std::map<std::string, std::string>;

} // namespace citronfall
