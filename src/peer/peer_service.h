#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/instant.h"
#include "citronfall/peer_event.h"
#include "citronfall/peer_hello.h"
#include "citronfall/peer_service_command.h"
#include "citronfall/result.h"
#include "socket/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronfall {

/// Settings of a peer service.
struct peer_service_options {
    peer_hello self;                                    ///< Sent first on each connection.
    std::string listen;                                 ///< "ip:port"; empty: does not listen.
    std::vector<std::string> seeds;                     ///< "ip:port" of the daemons to contact initially.
    std::function<void(const peer_event&)> notify;      ///< Called on the peer thread; may block.
    std::function<std::uint64_t(std::uint64_t)> random; ///< A number below its argument; called on the peer thread.
    std::size_t ring_capacity = 1024;
    std::size_t max_neighbours = 4; ///< Maximum number of chosen neighbours that this daemon connects to.
    std::size_t max_accepted = 64;  ///< If this plus max_neighbours connections exist, new inbound ones are closed.
    duration reconnect_min = std::chrono::milliseconds(100);
    duration reconnect_max = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::seconds(2);
    /// A connection is closed if no frame arrives for this long. The kernel notices sooner that an instance is gone;
    /// this is for a process that stands still.
    duration receive_timeout = std::chrono::seconds(30);
    /// Time for a peer to send its hello, which it does with its first packet.
    duration first_frame_timeout = std::chrono::seconds(5);
    /// A connection is closed if the peer takes none of the waiting bytes for this long. Below the time after which the
    /// kernel gives the connection up without a reason; a piece of a message takes 0.3 s on a link of 2 Mbit/s.
    duration send_timeout = std::chrono::seconds(1);
    std::size_t max_input_bytes = 64 * 1024 * 1024;  ///< Memory for messages that are incomplete; one may take half.
    std::size_t max_output_bytes = 16 * 1024 * 1024; ///< Memory for long messages that peers have not taken.
    std::function<std::size_t(const peer_service_command&)> size_of{}; ///< Size of a command in its ring.
    failure_hook failed{};                                             ///< Reports an unexpected exception.
};

/// Network connections to other daemons. A frame is a header (peer_frame.h) followed by a FlatBuffers message, or by a
/// piece of one that is longer than 64 KiB. Other messages are sent between its pieces.
///
/// The service connects to the pinned daemons, and to chosen ones while it has fewer than `max_neighbours` neighbours.
/// It reconnects with exponential backoff from `reconnect_min` to `reconnect_max` and random jitter. The first frame in
/// each direction is a hello. A frame that is too long, malformed or unexpected closes the connection and is counted.
/// Relayed work for a peer that reads too slowly closes the connection as well; other messages for it are dropped. A
/// long statement or answer for which there is no room fails alone. Several connections between two daemons are treated
/// as one: `connected` is reported for the first, `disconnected` after the last or when a new run of the daemon
/// connects. Each side states its receive timeout in the hello, and the other sends keepalives that suit it.
///
/// run() is the body of the peer thread; the other methods are thread-safe.
class peer_service {
public:
    explicit peer_service(peer_service_options options);
    ~peer_service();
    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;
    peer_service(peer_service&&) = delete;
    peer_service& operator=(peer_service&&) = delete;

    /// Binds the listening port, if configured. Error: bad_request if the address is malformed or in use.
    [[nodiscard]] result<done> open();

    /// The ring from which the service takes commands.
    [[nodiscard]] bounded_ring<peer_service_command>& commands();

    /// Serves connections until stop() is called.
    void run();

    /// Makes run() return. Open connections are closed without further events.
    void stop();

    /// Counters of frames and bytes in both directions, bad frames, messages dropped because the peer reads too slowly
    /// or is not connected, and connections opened, accepted and lost.
    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
