#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/member_call.h"

#include <string>
#include <utility>

namespace citronfall {

/// Operations of the upstream thread.
enum class upstream_command_kind { open, start_exchange, abort, close };

struct upstream_command_fields {
    upstream_command_kind kind = upstream_command_kind::open;
    connection_number connection = 0;
    std::string address;          ///< For an open command: "ip:port".
    exchange_number exchange = 0; ///< For a start_exchange command.
    member_call call;
    instant deadline; ///< When the operation times out and the connection is closed.

    friend auto operator<=>(const upstream_command_fields&, const upstream_command_fields&) = default;
};

/// Command of the decision thread to the upstream thread.
class upstream_command : public immutable<upstream_command_fields> {
public:
    using immutable::immutable;

    /// Opens a connection to `address`; fails at `deadline`. Thread-safe.
    [[nodiscard]] static upstream_command open(connection_number connection, std::string address, instant deadline)
    {
        return upstream_command{{.kind = upstream_command_kind::open,
                                 .connection = connection,
                                 .address = std::move(address),
                                 .deadline = deadline}};
    }

    /// Sends a call over an open connection, which is closed if there is no answer by `deadline`. Thread-safe.
    [[nodiscard]] static upstream_command start(connection_number connection, exchange_number exchange,
                                                member_call call, instant deadline)
    {
        return upstream_command{{.kind = upstream_command_kind::start_exchange,
                                 .connection = connection,
                                 .exchange = exchange,
                                 .call = std::move(call),
                                 .deadline = deadline}};
    }

    /// Closes a connection and fails the exchange in progress on it. Thread-safe.
    [[nodiscard]] static upstream_command abort(connection_number connection)
    {
        return upstream_command{{.kind = upstream_command_kind::abort, .connection = connection}};
    }

    /// Closes a connection in any state. Thread-safe.
    [[nodiscard]] static upstream_command close(connection_number connection)
    {
        return upstream_command{{.kind = upstream_command_kind::close, .connection = connection}};
    }
};

} // namespace citronfall
