#pragma once

#include "citronfall/platform_hooks.h"
#include "citronfall/result.h"

#include <string>

namespace citronfall {

/// Settings of the platform client.
struct http_platform_options {
    std::string address; ///< "ip:port"
};

/// Makes the platform's calls over HTTP with JSON bodies, on one connection.
///
/// Error: bad_request if the address is malformed. The hooks share the connection, so one duty uses them.
[[nodiscard]] result<platform_hooks> make_http_platform(const http_platform_options& options);

} // namespace citronfall
