#pragma once

#include <string_view>

namespace citronfall {

/// Evidence that an answer is based on.
enum class evidence_kind {
    none,     ///< Nothing was executed, or its effect is unknown.
    primary,  ///< Only the primary confirmed it; a change of primary may lose the write.
    majority, ///< A majority of the group's members has the position, in the same term.
    replica,  ///< A replica that satisfies the read's minimum position and staleness bound.
};

/// Name used on the wire. Thread-safe.
[[nodiscard]] constexpr std::string_view name(evidence_kind value)
{
    switch (value) {
    case evidence_kind::none:
        return "none";
    case evidence_kind::primary:
        return "primary";
    case evidence_kind::majority:
        return "majority";
    case evidence_kind::replica:
        return "replica";
    }
    return "none";
}

} // namespace citronfall
