#pragma once

#include "citronfall/result.h"
#include "registration/daemon_registration.h"
#include "registration/failover_lock.h"

#include <string>
#include <string_view>

namespace citronfall {

/// Reads and writes the values that daemons keep in the store, as JSON. All functions are thread-safe.
class registration_codec {
public:
    /// The value of a daemon's registration; its name is in the key.
    [[nodiscard]] static std::string encode(const daemon_registration& entry);

    /// Error (bad_request): the value cannot be read.
    [[nodiscard]] static result<daemon_registration> read_daemon(std::string_view name, std::string_view value);

    /// The value of a duty; service and fence are in the item.
    [[nodiscard]] static std::string encode(const failover_lock& entry);

    /// Error (bad_request): the value cannot be read.
    [[nodiscard]] static result<failover_lock> read_failover_lock(std::string_view service, std::uint64_t fence,
                                                                  std::string_view value);
};

} // namespace citronfall
