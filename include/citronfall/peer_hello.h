#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct peer_hello_fields {
    std::string daemon;
    std::string region;
    std::string data_center;
    std::uint64_t incarnation = 0; ///< Distinguishes runs of the same daemon.
    /// The sender closes the connection if no frame arrives for this long.
    duration receive_timeout = std::chrono::seconds(5);
    bool accepts_pieces = false; ///< The sender accepts messages in pieces; former releases do not.

    friend auto operator<=>(const peer_hello_fields&, const peer_hello_fields&) = default;
};

/// First message on a peer connection, in both directions.
class peer_hello : public immutable<peer_hello_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
