#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/caller_reply.h"
#include "citronfall/bounded_ring.h"
#include "citronfall/result.h"
#include "gateway/connections_left.h"
#include "socket/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace citronfall {

/// Splits the byte stream of one caller's connection into messages. Each connection has its own decoder.
struct caller_decoder {
    std::function<void(std::string_view)> add;         ///< Appends received bytes.
    std::function<std::optional<caller_event>()> next; ///< Next complete message; nothing if more bytes are needed.
    std::function<std::size_t()> pending;              ///< Number of buffered bytes of an incomplete message.
};

/// Options of a caller server. The hooks are called on the thread that executes run().
struct caller_server_options {
    std::string address; ///< "ip:port"
    std::function<caller_decoder(session_number)> make_decoder;
    std::function<std::string(const caller_reply&)> encode;
    std::function<void(const caller_event&)> notify; ///< Passes an event on; may block.
    std::size_t ring_capacity = 16'384;
    std::size_t max_sessions = 4096;
    failure_hook failed{}; ///< Reports an unexpected exception.
};

/// Accepts connections from callers, decodes their messages and sends replies. Unsent bytes are buffered up to a bound;
/// a caller that exceeds it is disconnected.
///
/// run() is the body of the caller thread; the other methods are thread-safe.
class caller_server {
public:
    explicit caller_server(caller_server_options options);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    /// Binds the address and listens. Error (bad_request): the address is malformed or in use.
    [[nodiscard]] result<done> open();

    /// Ring of the replies that the server sends.
    [[nodiscard]] bounded_ring<caller_reply>& replies();

    /// Serves callers until stop() is called.
    void run();

    /// Makes run() return.
    void stop();

    /// Connections that were open when run() returned. Precondition: run() has returned.
    [[nodiscard]] connections_left left() const;

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
