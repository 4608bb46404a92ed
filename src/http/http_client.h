#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "http/http_reply.h"
#include "http/http_request.h"

#include <memory>
#include <string>

namespace citronfall {

/// Settings of an HTTP client.
struct http_client_options {
    std::string address; ///< "ip:port"
};

/// Blocking HTTP client with one keep-alive connection and strict deadlines, used for the platform and on the command
/// line. Not thread-safe: each thread has its own.
class http_client {
public:
    /// Error: bad_request if the address is malformed. Does not connect.
    [[nodiscard]] static result<http_client> make(const http_client_options& options);

    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and waits for the complete reply until `deadline`. Errors: connect_failed if nothing was sent,
    /// outcome_unknown if the request may have taken effect. An error closes the connection.
    [[nodiscard]] result<http_reply> call(const http_request& request, instant deadline);

private:
    class impl;

    explicit http_client(std::unique_ptr<impl> all);

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
