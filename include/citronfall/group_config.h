#pragma once

#include "citronfall/immutable.h"
#include "citronfall/member_config.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a group's declaration.
struct group_config_fields {
    std::string name;
    std::string database;
    std::vector<member_config> members;
    std::uint32_t connections_per_member =
        0;                              ///< Greatest number of connections to one member, of all daemons together.
    std::uint32_t slots_per_member = 0; ///< Statements that a member runs at a time.

    friend auto operator<=>(const group_config_fields&, const group_config_fields&) = default;
};

/// A group as the document declares it.
class group_config : public immutable<group_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
