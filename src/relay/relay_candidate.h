#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

/// Fields of a relay candidate.
struct relay_candidate_fields {
    std::string name;
    std::string data_center;
    double capacity = 1; ///< Relative to other daemons; above 0.

    friend auto operator<=>(const relay_candidate_fields&, const relay_candidate_fields&) = default;
};

/// A registered daemon that may hold connections to the members of a service and run statements for other daemons.
using relay_candidate = immutable<relay_candidate_fields>;

} // namespace citronfall
