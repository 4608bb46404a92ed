#pragma once

#include "citronfall/immutable.h"
#include "citronfall/quota_allowance.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct quota_grant_fields {
    std::uint64_t number = 0; ///< Of the request.
    std::vector<quota_allowance> allowances;

    friend auto operator<=>(const quota_grant_fields&, const quota_grant_fields&) = default;
};

/// Answer of a quota holder. What it grants lapses if it is not used soon after the request was sent.
class quota_grant : public immutable<quota_grant_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
