#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/ids.h"
#include "citronfall/result.h"
#include "pool/member_command.h"
#include "pool/member_event.h"
#include "socket/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
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
    std::function<std::size_t()> held; ///< Bytes of an answer that is not complete.
    /// Drops the rows of the answer that is not complete, now and until its end; the answer is then a failure.
    std::function<void()> discard_answer;
};

/// Options of a member client. The hooks are called on the thread that executes run().
struct member_client_options {
    std::function<member_decoder(connection_number)> make_decoder;
    std::function<std::string(const open_member_connection&)> encode_open;
    std::function<std::string(const send_queries&)> encode_queries;
    std::function<void(const member_event&)> notify; ///< Passes an event on; may block.
    /// Whether answers may be read at present; if not, they wait in the sockets.
    std::function<bool()> may_read = [] {
        return true;
    };
    std::size_t ring_capacity = 16'384;
    std::size_t max_answer_bytes = 64 * 1024 * 1024;           ///< Memory for answers that are not complete.
    duration connect_timeout = std::chrono::milliseconds(400); ///< A running member accepts within a few round trips.
    duration start_timeout = std::chrono::milliseconds(1500);  ///< A new session may have to wait for a free slot.
    failure_hook failed{};                                     ///< Reports an unexpected exception.
};

/// Opens connections to members, sends statements and decodes the answers. Answers that are not complete are bounded as
/// a whole: beyond the bound, the longest one is read to its end without being kept, and reported as failed.
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

    /// Bytes held now, and the answers of which rows were dropped.
    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
