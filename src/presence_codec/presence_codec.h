#pragma once

#include "citronfall/result.h"
#include "presence/daemon_entry.h"
#include "presence/duty_entry.h"

#include <string>
#include <string_view>

namespace citronfall {

/// Reads and writes the values that daemons keep in the store, as JSON. All functions are thread-safe.
class presence_codec {
public:
    /// The value of a daemon's registration; its name is in the key.
    [[nodiscard]] static std::string encode(const daemon_entry& entry);

    /// Error (bad_request): the value cannot be read.
    [[nodiscard]] static result<daemon_entry> read_daemon(std::string_view name, std::string_view value);

    /// The value of a duty; service and fence are in the item.
    [[nodiscard]] static std::string encode(const duty_entry& entry);

    /// Error (bad_request): the value cannot be read.
    [[nodiscard]] static result<duty_entry> read_duty(std::string_view service, std::uint64_t fence,
                                                      std::string_view value);
};

} // namespace citronfall
