#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

/// Fields of the maintenance section.
struct maintenance_config_fields {
    duration resume_after = std::chrono::minutes(15); ///< Time that automation yields to a quiet override.
    duration warm_up = std::chrono::seconds(30); ///< Time in which a member that was put back gets its full weight.
    std::map<std::string, std::int64_t> resume;  ///< Objects for which automation was told to resume, and when.

    friend auto operator<=>(const maintenance_config_fields&, const maintenance_config_fields&) = default;
};

/// The maintenance section of the document, apart from the leaving members.
class maintenance_config : public immutable<maintenance_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
