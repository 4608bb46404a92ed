#pragma once

#include "citronfall/caller_answer.h"
#include "citronfall/caller_request.h"
#include "citronfall/health_report.h"
#include "citronfall/metrics_report.h"
#include "citronfall/operator_report.h"
#include "citronfall/result.h"
#include "http/http_reply.h"
#include "http/http_request.h"

namespace citronfall {

/// Converts between callers' HTTP messages with JSON bodies and the values that the decision thread handles.
class caller_codec {
public:
    /// Decodes a request for a resource below /v1 that arrived at `now`. Error: bad_request, which names the invalid
    /// key or the unknown resource. Thread-safe.
    [[nodiscard]] static result<caller_request> decode(const http_request& message, request_handle handle, instant now);

    /// Encodes an answer as an HTTP reply. Thread-safe.
    [[nodiscard]] static http_reply encode(const caller_answer& answer);

    /// Encodes a health report; status 200 if the daemon is ready, otherwise 503. Thread-safe.
    [[nodiscard]] static http_reply encode(const health_report& report);

    /// Encodes a metrics report as text. Thread-safe.
    [[nodiscard]] static http_reply encode(const metrics_report& report);

    /// Calls operator_codec::encode(). Thread-safe.
    [[nodiscard]] static http_reply encode(const operator_report& report);
};

} // namespace citronfall
