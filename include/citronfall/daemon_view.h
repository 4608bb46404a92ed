#pragma once

#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

struct daemon_view_fields {
    std::uint64_t daemon = 0;   ///< Hash of the daemon's name.
    std::uint64_t document = 0; ///< Revision of the document in force on the daemon.
    std::uint64_t beat = 0;     ///< Heartbeat counter, incremented by the daemon each second; orders its views.

    friend auto operator<=>(const daemon_view_fields&, const daemon_view_fields&) = default;
};

/// A daemon's own report of what is in force on it, as gossiped between daemons.
class daemon_view : public immutable<daemon_view_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
