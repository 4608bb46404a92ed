#pragma once

#include "citronfall/immutable.h"

#include <map>
#include <string>

namespace citronfall {

/// Fields of an HTTP reply.
struct http_reply_fields {
    int status = 200;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    friend auto operator<=>(const http_reply_fields&, const http_reply_fields&) = default;
};

/// One HTTP reply.
class http_reply : public immutable<http_reply_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
