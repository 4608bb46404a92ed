#pragma once

#include "stream.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace review {

/// Answer to a statement or to STARTUP.
struct caller_answer {
    bool complete = false;  ///< False: the connection ended before the answer did.
    std::string receipt;    ///< Of a success.
    std::string error_code; ///< Of a failure.
    std::vector<std::string> rows;
};

/// A session of a consumer with a daemon, one request at a time. Not thread-safe.
class caller : public std::enable_shared_from_this<caller> {
public:
    using answered = std::function<void(const caller_answer&)>;

    explicit caller(event_loop& loop) : loop_(loop) {}

    /// Connects to a daemon and starts a session; the answer has an error code if it is refused.
    void start(const endpoint& daemon, const std::string& database, answered done);

    /// Sends a statement. Precondition: no request is outstanding.
    void query(const std::string& id, const std::string& text, answered done);

    void close();

    [[nodiscard]] bool open() const { return socket_ && socket_->open(); }

private:
    void receive();
    void finish(bool complete);

    event_loop& loop_;
    stream_ptr socket_;
    answered done_;
    caller_answer answer_;
};

} // namespace review
