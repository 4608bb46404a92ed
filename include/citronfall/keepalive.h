#pragma once

#include "citronfall/immutable.h"

#include <compare>

namespace citronfall {

struct keepalive_fields {
    friend auto operator<=>(const keepalive_fields&, const keepalive_fields&) = default;
};

/// Shows a peer that the connection is open while there is nothing else to send.
using keepalive = immutable<keepalive_fields>;

} // namespace citronfall
