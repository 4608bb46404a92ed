#pragma once

#include "citronfall/immutable.h"

#include <map>
#include <string>

namespace citronfall {

/// Fields of an HTTP request.
struct http_request_fields {
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    friend auto operator<=>(const http_request_fields&, const http_request_fields&) = default;
};

/// One HTTP request.
class http_request : public immutable<http_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
