#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

/// Fields of class_key.
struct class_key_fields {
    std::string tenant;
    std::string class_name;

    friend auto operator<=>(const class_key_fields&, const class_key_fields&) = default;
};

/// Identifies a class of a tenant.
class class_key : public immutable<class_key_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
