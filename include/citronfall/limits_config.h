#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>

namespace citronfall {

/// Fields of the limits section.
struct limits_config_fields {
    std::uint32_t long_request_percent = 34; ///< Part of a member's connections and slots that long requests may hold.
    duration long_request_after = std::chrono::milliseconds(100); ///< Running time from which a request is long.
    std::uint32_t retry_budget_percent = 10;                      ///< Retries allowed in relation to recent requests.
    std::uint32_t queue_length = 4096; ///< Greatest number of waiting requests in one daemon.
    duration connect_timeout = std::chrono::milliseconds(500);

    friend auto operator<=>(const limits_config_fields&, const limits_config_fields&) = default;
};

/// The limits section of the document, apart from the limits of tenants and classes.
class limits_config : public immutable<limits_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
