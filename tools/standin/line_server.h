#pragma once

#include "citronfall/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace citronfall::standin {

/// Id of a connection, unique within a server.
using line_connection = std::uint64_t;

/// Options of a line server.
struct line_server_options {
    std::string address;                                                    ///< "ip:port"
    std::function<void(line_connection, const std::string& line)> received; ///< Called for each line, without its end.
    std::function<void(line_connection)> closed; ///< Called when the peer has closed the connection.
};

/// TCP server whose messages are lines that end with CR LF.
///
/// Not thread-safe: used on the thread that runs the event loop.
class line_server {
public:
    /// Error (bad_request): the address is malformed or in use. Precondition: `loop` outlives the server.
    [[nodiscard]] static result<std::unique_ptr<line_server>> make(boost::asio::io_context& loop,
                                                                   line_server_options options);

    ~line_server();
    line_server(const line_server&) = delete;
    line_server& operator=(const line_server&) = delete;
    line_server(line_server&&) = delete;
    line_server& operator=(line_server&&) = delete;

    /// Sends bytes; does nothing if the connection has ended.
    void send(line_connection connection, const std::string& bytes);

    /// Closes a connection once all bytes are sent. `closed` is not called.
    void close(line_connection connection);

    /// Resets all connections and refuses new ones, as after the end of the process.
    void stop();

    /// Listens again. Error (bad_request): the address is in use.
    [[nodiscard]] result<done> restart();

private:
    class impl;

    explicit line_server(std::shared_ptr<impl> implementation);

    std::shared_ptr<impl> impl_;
};

} // namespace citronfall::standin
