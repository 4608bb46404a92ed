#pragma once

#include "citronfall/immutable.h"

#include <cstddef>
#include <cstdint>

namespace citronfall {

/// Fields of a descriptor plan.
struct descriptor_plan_fields {
    std::size_t callers = 0;    ///< Connections of callers.
    std::size_t peers = 0;      ///< Connections that other daemons open.
    std::size_t members = 0;    ///< Room for connections to members, the store and other daemons.
    std::size_t monitoring = 0; ///< Connections of the readiness probe and of operators, at each address.

    friend auto operator<=>(const descriptor_plan_fields&, const descriptor_plan_fields&) = default;
};

/// How the descriptors of a process are divided, so that callers cannot take those that the others need.
using descriptor_plan = immutable<descriptor_plan_fields>;

/// Divides the descriptors that a process may open. Pure, thread-safe.
[[nodiscard]] descriptor_plan plan_descriptors(std::uint32_t max_descriptors);

} // namespace citronfall
