#pragma once

#include "http/http_reply.h"
#include "http/http_request.h"

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace citronfall {

/// The message of a request to `host` on a kept connection. Thread-safe.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> http_message(const http_request& request,
                                                                                        const std::string& host);

/// The reply in a received message, whose body is moved out. Header names become lower case. Thread-safe.
[[nodiscard]] http_reply http_reply_of(boost::beast::http::response<boost::beast::http::string_body>& message);

} // namespace citronfall
