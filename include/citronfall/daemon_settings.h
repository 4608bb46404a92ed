#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

struct daemon_settings_fields {
    std::string name; ///< Unique among the daemons.
    std::string region;
    std::string data_center;
    std::string listen;        ///< "ip:port" for callers and operators.
    std::uint32_t threads = 2; ///< Front-end threads.
    std::uint32_t max_request_bytes = 64 * 1024;
    duration header_timeout = std::chrono::seconds(5);      ///< Time for a caller to send a complete header.
    duration body_timeout = std::chrono::seconds(5);        ///< Time for a caller to send a complete body.
    duration keep_alive_timeout = std::chrono::seconds(60); ///< Time after which an idle connection is closed.
    std::string peer_listen;                                ///< "ip:port" for other daemons; empty: no peers.
    std::vector<std::string> peers;                         ///< "ip:port" of seed daemons.
    std::string platform;                                   ///< "ip:port" of the platform's key-value service.
    std::string operator_key; ///< Empty: the operators' interface accepts loopback requests only.
    duration drain_bound = std::chrono::seconds(30);

    friend auto operator<=>(const daemon_settings_fields&, const daemon_settings_fields&) = default;
};

/// Contents of a daemon's settings file. All other configuration comes from the operators' document.
class daemon_settings : public immutable<daemon_settings_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
