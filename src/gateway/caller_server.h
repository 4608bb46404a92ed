#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/caller_reply.h"
#include "citronfall/bounded_ring.h"
#include "citronfall/result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace citronfall {

/// Cuts the bytes of one caller into messages; made anew for each connection.
struct caller_decoder {
    std::function<void(std::string_view)> add;         ///< Received bytes.
    std::function<std::optional<caller_event>()> next; ///< The next whole message; nothing if more bytes are needed.
    std::function<std::size_t()> pending;              ///< Bytes of a message that is not whole.
};

/// Settings and hooks of a caller server. The hooks are called on the thread of run().
struct caller_server_options {
    std::string address; ///< "ip:port"
    std::function<caller_decoder(session_number)> make_decoder;
    std::function<std::string(const caller_reply&)> encode;
    std::function<void(const caller_event&)> notify; ///< May wait.
    std::size_t ring_capacity = 16'384;
    std::size_t max_sessions = 4096;
};

/// The sockets of callers. Bytes that a caller does not read are held up to a bound, then the caller is dropped.
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

    /// Binds the address. Error (bad_request): it is malformed or taken.
    [[nodiscard]] result<done> open();

    /// The ring from which the server takes its replies.
    [[nodiscard]] bounded_ring<caller_reply>& replies();

    /// Serves callers until stop() is called.
    void run();

    /// Makes run() return.
    void stop();

private:
    class parts;

    std::unique_ptr<parts> parts_;
};

} // namespace citronfall
