#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct member_key_fields {
    std::string group;
    std::string member;

    friend auto operator<=>(const member_key_fields&, const member_key_fields&) = default;
};

/// Identifies a member of a group.
class member_key : public immutable<member_key_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
