#pragma once

#include "citronfall/result.h"
#include "registration/daemon_registration.h"
#include "registration/failover_lock.h"

#include <string>
#include <string_view>

namespace citronfall {

/// JSON encoding of the values that daemons keep in the store. All functions are thread-safe.
class registration_codec {
public:
    /// The value of a daemon's registration. The name is part of the key.
    [[nodiscard]] static std::string encode(const daemon_registration& entry);

    /// Decodes a value. Error (bad_request): the value is malformed.
    [[nodiscard]] static result<daemon_registration> read_daemon(std::string_view name, std::string_view value);

    /// The value of a failover lock. The service is part of the key; revision and lease are those of the entry.
    [[nodiscard]] static std::string encode(const failover_lock& entry);

    /// Decodes a value; `acquired_at` and `lease` stay unset. Error (bad_request): the value is malformed.
    [[nodiscard]] static result<failover_lock> read_failover_lock(std::string_view service, std::string_view value);
};

} // namespace citronfall
