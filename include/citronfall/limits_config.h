#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>

namespace citronfall {

struct limits_config_fields {
    std::uint32_t long_request_percent = 34; ///< Share of a member's connections and slots for long requests.
    duration long_request_after =
        std::chrono::milliseconds(100);      ///< Execution time above which a request counts as long.
    std::uint32_t retry_budget_percent = 10; ///< Maximum ratio of retries to recent requests.
    std::uint32_t queue_length = 4096;       ///< Maximum number of queued requests per daemon.
    duration connect_timeout = std::chrono::milliseconds(500);

    friend auto operator<=>(const limits_config_fields&, const limits_config_fields&) = default;
};

/// Section `limits` of the document, without the limits of tenants and classes.
class limits_config : public immutable<limits_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
