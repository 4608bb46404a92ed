#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/caller_reply.h"
#include "citronfall/bounded_ring.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "gateway/caller_decoder.h"
#include "gateway/connections_left.h"
#include "socket/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronfall {

/// Options of a caller server. The hooks are called on the thread that executes run().
struct caller_server_options {
    std::string address; ///< "ip:port"
    std::function<caller_decoder(session_number)> make_decoder;
    std::function<std::string(const caller_reply&)> encode;
    std::function<void(const caller_event&)> notify; ///< Passes an event on; may block.
    std::size_t ring_capacity = 16'384;
    std::size_t max_sessions = 4096;                 ///< Connections; for a further one an idle one is closed.
    std::size_t max_input_bytes = 64 * 1024 * 1024;  ///< Memory for messages that are incomplete or not answered.
    std::size_t max_output_bytes = 64 * 1024 * 1024; ///< Memory for answers that callers have not taken.
    /// Time for a caller to send its first message, or to complete a message. Callers wait two seconds for the answer
    /// to their first message, and the longest message takes one second on a link of 10 Mbit/s.
    duration message_timeout = std::chrono::seconds(5);
    /// Time in which a caller has to take some of the bytes that wait for it. The longest time limit of a request is
    /// five seconds.
    duration output_timeout = std::chrono::seconds(10);
    failure_hook failed{}; ///< Reports an unexpected exception.
};

/// Accepts connections from callers, decodes their messages and sends replies. What callers make it hold is bounded as
/// a whole: beyond the bound, the caller that holds the most is disconnected.
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

    /// Bytes held now, and the connections that ended by reason.
    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
