#pragma once

#include "citronfall/operator_report.h"
#include "citronfall/report_request.h"
#include "citronfall/result.h"
#include "http/http_reply.h"
#include "http/http_request.h"

#include <string>

namespace citronfall {

/// Codec of the operators' interface at /v1/operator/: GET status, document, overrides, groups, sessions; POST drain.
class operator_codec {
public:
    /// Whether the request's target belongs to the operators' interface. Thread-safe.
    [[nodiscard]] static bool serves(const http_request& message);

    /// Decodes a request. If `key` from the settings is not empty, the header citronfall-operator-key must equal it;
    /// the comparison takes constant time to prevent timing attacks. Errors: unauthorized, bad_request. Thread-safe.
    [[nodiscard]] static result<report_request> decode(const http_request& message, request_handle handle,
                                                       const std::string& key);

    /// Encodes a report as an HTTP reply with a JSON body. Thread-safe.
    [[nodiscard]] static http_reply encode(const operator_report& report);
};

} // namespace citronfall
