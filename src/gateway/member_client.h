#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/ids.h"
#include "citronfall/result.h"
#include "pool/member_command.h"
#include "pool/member_event.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace citronfall {

/// Cuts the bytes of one member into answers; made anew for each connection.
struct member_decoder {
    std::function<void(std::string_view)> add; ///< Received bytes.
    std::function<result<std::optional<member_event>>()>
        next; ///< The next whole answer; nothing if more bytes are needed; an error if the bytes are no answer.
};

/// Settings and hooks of a member client. The hooks are called on the thread of run().
struct member_client_options {
    std::function<member_decoder(connection_number)> make_decoder;
    std::function<std::string(const open_member_connection&)> encode_open;
    std::function<std::string(const send_queries&)> encode_queries;
    std::function<void(const member_event&)> notify; ///< May wait.
    std::size_t ring_capacity = 16'384;
    duration connect_timeout = std::chrono::milliseconds(400); ///< A live member accepts within a few round trips.
    duration start_timeout = std::chrono::milliseconds(1500);  ///< A new connection waits for a slot of the member.
};

/// The sockets towards members: opens connections, sends statements and passes answers on.
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

    /// The ring from which the client takes its commands.
    [[nodiscard]] bounded_ring<member_command>& commands();

    /// Serves connections until stop() is called.
    void run();

    /// Makes run() return.
    void stop();

private:
    class parts;

    std::unique_ptr<parts> parts_;
};

} // namespace citronfall
