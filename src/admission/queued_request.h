#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of queued_request.
struct queued_request_fields {
    request_handle handle = 0;
    std::string tenant;
    std::string class_name;
    std::uint32_t tenant_weight = 1;
    std::uint32_t class_weight = 1;
    bool declared_long = false;
    instant admitted;
    instant deadline;

    friend auto operator<=>(const queued_request_fields&, const queued_request_fields&) = default;
};

/// A request in the queue of a member.
class queued_request : public immutable<queued_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
