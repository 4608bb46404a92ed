#pragma once

#include "citronfall/caller_request.h"
#include "citronfall/document_check_result.h"
#include "citronfall/operator_config.h"
#include "citronfall/peer_event.h"
#include "citronfall/platform_event.h"
#include "citronfall/report_request.h"
#include "citronfall/upstream_event.h"

#include <variant>

namespace citronfall {

/// Request to stop accepting work and to exit once the work in progress is finished.
struct drain_request {
    friend auto operator<=>(const drain_request&, const drain_request&) = default;
};

/// Events that the decision thread handles, apart from timers.
using decision_event = std::variant<caller_request, report_request, upstream_event, platform_event, peer_event,
                                    operator_config, drain_request, document_check_result>;

} // namespace citronfall
