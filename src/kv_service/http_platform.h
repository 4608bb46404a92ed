#pragma once

#include "citronfall/platform_hooks.h"
#include "citronfall/result.h"

#include <string>

namespace citronfall {

/// Settings of the HTTP client for the platform.
struct http_platform_options {
    std::string address; ///< "ip:port"
};

/// Returns hooks that call the platform's service over HTTP with JSON bodies. They share one connection, so only one
/// thread may use them. Error: bad_request if the address is malformed.
[[nodiscard]] result<platform_hooks> make_http_platform(const http_platform_options& options);

} // namespace citronfall
