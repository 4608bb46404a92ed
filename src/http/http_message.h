#pragma once

#include "http/http_reply.h"
#include "http/http_request.h"

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace citronfall {

/// Converts a request to `host` into a message for a keep-alive connection. Thread-safe.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> http_message(const http_request& request,
                                                                                        const std::string& host);

/// Converts a received message, whose body is moved out, into a reply with lower-case header names. Thread-safe.
[[nodiscard]] http_reply http_reply_of(boost::beast::http::response<boost::beast::http::string_body>& message);

} // namespace citronfall
