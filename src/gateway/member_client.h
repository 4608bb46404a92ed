#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/ids.h"
#include "citronfall/result.h"
#include "pool/member_command.h"
#include "pool/member_event.h"
#include "socket/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace citronfall {

/// Splits the byte stream of one connection to a member into answers. Each connection has its own decoder.
struct member_decoder {
    std::function<void(std::string_view)> add; ///< Appends received bytes.
    /// Next complete answer; nothing if more bytes are needed; an error if the bytes violate the protocol.
    std::function<result<std::optional<member_event>>()> next;
};

/// Options of a member client. The hooks are called on the thread that executes run().
struct member_client_options {
    std::function<member_decoder(connection_number)> make_decoder;
    std::function<std::string(const open_member_connection&)> encode_open;
    std::function<std::string(const send_queries&)> encode_queries;
    std::function<void(const member_event&)> notify; ///< Passes an event on; may block.
    std::size_t ring_capacity = 16'384;
    duration connect_timeout = std::chrono::milliseconds(400); ///< A running member accepts within a few round trips.
    duration start_timeout = std::chrono::milliseconds(1500);  ///< A new session may have to wait for a free slot.
    failure_hook failed{};                                     ///< Reports an unexpected exception.
};

/// Opens connections to members, sends statements and decodes the answers.
///
/// run() is the body of the member thread; the other methods are thread-safe.
class member_client {
public:
    explicit member_client(member_client_options options);
    ~member_client();
    member_client(const member_client&) = delete;
    member_client& operator=(const member_client&) = delete;
    member_client(member_client&&) = delete;
    member_client& operator=(member_client&&) = delete;

    /// Ring of the commands that the client executes.
    [[nodiscard]] bounded_ring<member_command>& commands();

    /// Serves connections until stop() is called.
    void run();

    /// Makes run() return.
    void stop();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
