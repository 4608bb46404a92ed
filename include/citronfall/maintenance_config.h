#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

struct maintenance_config_fields {
    duration resume_after =
        std::chrono::minutes(15);                ///< Suspension of automation after a change made outside the tool.
    duration warm_up = std::chrono::seconds(30); ///< Time for a returning member to ramp up to its full weight.
    std::map<std::string, std::int64_t> resume;  ///< When automation was told to resume, by object.

    friend auto operator<=>(const maintenance_config_fields&, const maintenance_config_fields&) = default;
};

/// Section `maintenance` of the document, without the members that are drained.
class maintenance_config : public immutable<maintenance_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
