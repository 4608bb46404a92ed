#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Operations of the platform's key-value service.
enum class platform_operation { read, compare_and_swap, lease, instances };

struct platform_call_fields {
    std::uint64_t number = 0; ///< Chosen by the sender and echoed in the platform_event.
    platform_operation operation = platform_operation::read;
    std::string key;
    kv_revision expected = 0; ///< For a compare-and-swap: revision that the key must have.
    std::string value;        ///< For a compare-and-swap: value to write.
    std::string holder;       ///< For a lease.
    duration ttl{};           ///< For a lease.
    instant deadline;

    friend auto operator<=>(const platform_call_fields&, const platform_call_fields&) = default;
};

/// Call of the platform's service, sent by the decision thread to the platform thread.
class platform_call : public immutable<platform_call_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
