#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronfall::testing {

/// What each client of a crowd does, beside connecting.
struct crowd_script {
    std::string text;                     ///< Bytes that it sends.
    std::size_t piece = 64 * 1024;        ///< Longest piece that it sends in one turn.
    std::size_t bytes_read_in_a_turn = 0; ///< 0: it reads nothing.
};

/// Clients of one address that all follow the same script, in turns, so that they hold what they hold at the same time.
///
/// Not thread-safe.
class crowd {
public:
    /// `after_turn` is called each time every client has had a turn.
    crowd(std::string address, std::size_t clients, crowd_script script, std::function<void()> after_turn);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;

    /// Connects the clients and plays until none of them can send any more: all is sent, the other side takes nothing,
    /// or it has closed the connection. The connections stay open.
    void play();

    /// Gives the clients further turns with a short pause before each.
    void linger(std::size_t turns);

    /// Number of connections that the other side has not closed, as far as the clients have noticed.
    [[nodiscard]] std::size_t open() const;

private:
    struct client {
        int socket = -1;
        std::size_t sent = 0;
    };

    void connect(client& each);
    bool take_turn(client& each);

    std::string address_;
    crowd_script script_;
    std::function<void()> after_turn_;
    std::vector<client> clients_;
};

} // namespace citronfall::testing
