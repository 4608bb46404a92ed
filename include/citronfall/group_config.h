#pragma once

#include "citronfall/immutable.h"
#include "citronfall/member_config.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

struct group_config_fields {
    std::string name;
    std::string database;
    std::vector<member_config> members;
    std::uint32_t connections_per_member = 0; ///< Maximum number of connections to a member, over all daemons.
    std::uint32_t slots_per_member = 0;       ///< Statements that a member executes concurrently.

    friend auto operator<=>(const group_config_fields&, const group_config_fields&) = default;
};

/// Group of members that replicate a database, as declared in the document.
class group_config : public immutable<group_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
