#pragma once

#include "citronfall/immutable.h"
#include "citronfall/quota_demand.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct quota_request_fields {
    std::uint64_t number = 0;  ///< Assigned by the sender; the grant repeats it.
    std::uint64_t version = 0; ///< Version of the sender's configuration.
    std::vector<quota_demand> demands;

    friend auto operator<=>(const quota_request_fields&, const quota_request_fields&) = default;
};

/// Asks a quota holder for grants.
class quota_request : public immutable<quota_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
