#pragma once

#include "citronfall/member_answer.h"
#include "citronfall/member_call.h"
#include "http/http_reply.h"
#include "http/http_request.h"

#include <optional>

namespace citronfall {

/// Encodes and decodes the calls and answers of the database protocol: HTTP with JSON bodies.
class member_codec {
public:
    /// Encodes a call as an HTTP request. Thread-safe.
    [[nodiscard]] static http_request encode(const member_call& call);

    /// Decodes the answer in an HTTP reply. The verdict is malformed if that fails. Thread-safe.
    [[nodiscard]] static member_answer decode(const http_reply& reply);

    /// Decodes the call in an HTTP request; returns nothing if that fails. For stand-ins. Thread-safe.
    [[nodiscard]] static std::optional<member_call> decode(const http_request& request);

    /// Encodes an answer as an HTTP reply. For stand-ins. Thread-safe.
    [[nodiscard]] static http_reply encode(const member_answer& answer);
};

} // namespace citronfall
