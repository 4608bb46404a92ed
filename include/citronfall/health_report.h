#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct health_report_fields {
    request_handle handle = 0;
    bool ready = false; ///< Whether the load balancer may send work.
    std::string reason; ///< Reason if it may not, else "ready".

    friend auto operator<=>(const health_report_fields&, const health_report_fields&) = default;
};

/// Readiness of the daemon for new work.
class health_report : public immutable<health_report_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
