#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/instant.h"
#include "citronfall/peer_event.h"
#include "citronfall/peer_hello.h"
#include "citronfall/peer_service_command.h"
#include "citronfall/result.h"

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
    std::string listen;                                 ///< "ip:port"; empty: no other daemon can connect.
    std::vector<std::string> seeds;                     ///< "ip:port" of daemons to start from.
    std::function<void(const peer_event&)> notify;      ///< Called on the service's thread; may wait.
    std::function<std::uint64_t(std::uint64_t)> random; ///< A number below its argument; called on the thread of run().
    std::size_t ring_capacity = 1024;
    std::size_t max_neighbours = 4; ///< Connections that this daemon opens; others may connect to it.
    std::size_t max_accepted = 64;  ///< Connections that others may open; further ones are closed at once.
    duration reconnect_min = std::chrono::milliseconds(100);
    duration reconnect_max = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::seconds(2);
    duration silence = std::chrono::seconds(5); ///< A connection without a frame for this long is closed.
};

/// The sockets towards other daemons. Frames are a 4-byte little-endian length and a FlatBuffers message.
///
/// A daemon opens at most `max_neighbours` connections and reopens lost ones after a pause that doubles from
/// `reconnect_min` to `reconnect_max` with random jitter. The first frame of each side is a hello. A frame that is too
/// long, malformed or out of place closes the connection and is counted. Two connections between the same two daemons
/// count as one: `connected` is sent for the first, `disconnected` after the last.
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

    /// Binds the listening port, if there is one. Error (bad_request): the address is malformed or taken.
    [[nodiscard]] result<done> open();

    /// The ring from which the service takes its orders.
    [[nodiscard]] bounded_ring<peer_service_command>& commands();

    /// Serves connections until stop() is called.
    void run();

    /// Makes run() return; open connections are closed without further events.
    void stop();

    /// Counters: frames and bytes in both directions, bad frames, messages dropped because a peer reads too slowly or
    /// is not connected, connections opened, accepted and lost.
    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

private:
    class parts;

    std::unique_ptr<parts> parts_;
};

} // namespace citronfall
