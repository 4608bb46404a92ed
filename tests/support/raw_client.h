#pragma once

#include <chrono>
#include <string>

namespace citronfall::testing {

/// A plain TCP connection to 127.0.0.1, for tests that write and read HTTP byte by byte.
class raw_client {
public:
    /// Connects; throws std::runtime_error if nothing listens at "127.0.0.1:port".
    explicit raw_client(const std::string& address);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    raw_client(raw_client&&) = delete;
    raw_client& operator=(raw_client&&) = delete;

    /// Writes all bytes in one call where the kernel allows it. Returns false if the peer has closed.
    bool write(const std::string& bytes);

    /// Reads until `count` complete answers have arrived, the peer closes or `timeout` has passed; returns all bytes
    /// read.
    std::string read_answers(std::size_t count, std::chrono::milliseconds timeout = std::chrono::seconds(5));

    /// Reads until the peer closes or `timeout` has passed; returns all bytes read.
    std::string read_to_end(std::chrono::milliseconds timeout = std::chrono::seconds(5));

    /// Whether the peer has closed, as far as the reading methods have noticed.
    [[nodiscard]] bool closed() const { return closed_; }

    /// Closes the connection with a TCP reset.
    void reset();

private:
    bool read_some(std::chrono::steady_clock::time_point deadline);

    int socket_ = -1;
    bool closed_ = false;
    std::string received_;
};

/// HTTP request that posts `body` to `target`, with the headers that every caller sends. Thread-safe.
[[nodiscard]] std::string post(const std::string& target, const std::string& body, bool keep_alive = true);

/// HTTP request that gets `target`. Thread-safe.
[[nodiscard]] std::string get(const std::string& target, bool keep_alive = true);

/// Number of complete HTTP answers at the start of `bytes`. Thread-safe.
[[nodiscard]] std::size_t whole_answers(const std::string& bytes);

} // namespace citronfall::testing
