#include "caller.h"

#include <utility>

namespace review {

void caller::start(const endpoint& daemon, const std::string& database, answered done)
{
    done_ = std::move(done);
    answer_ = {};
    socket_ = connect_to(loop_, daemon);
    if (!socket_) {
        finish(false);
        return;
    }
    const std::weak_ptr<caller> self = weak_from_this();
    socket_->start(
        [self] {
            if (const auto alive = self.lock()) {
                alive->receive();
            }
        },
        [self] {
            if (const auto alive = self.lock()) {
                alive->finish(false);
            }
        });
    socket_->send("STARTUP " + database + " reviewer\r\n");
}

void caller::query(const std::string& id, const std::string& text, answered done)
{
    done_ = std::move(done);
    answer_ = {};
    if (!open()) {
        finish(false);
        return;
    }
    socket_->send("QUERY " + id + " " + text + "\r\n");
}

void caller::close()
{
    if (socket_) {
        socket_->close();
    }
}

void caller::receive()
{
    const auto self = shared_from_this();
    while (open()) {
        const auto end = socket_->input.find("\r\n");
        if (end == std::string::npos) {
            return;
        }
        const std::string line = socket_->input.substr(0, end);
        socket_->input.erase(0, end + 2);
        if (!done_) {
            close(); // A message that answers no request.
            return;
        }
        if (line.starts_with("ROW ")) {
            answer_.rows.push_back(line.substr(4));
        } else if (line.starts_with("COMPLETE ")) {
            answer_.receipt = line.substr(9);
        } else if (line.starts_with("ERROR ")) {
            answer_.error_code = line.substr(6, line.find(' ', 6) - 6);
        } else if (line.starts_with("READY ")) {
            finish(true);
        }
    }
}

void caller::finish(bool complete)
{
    answer_.complete = complete;
    const answered done = std::exchange(done_, nullptr);
    const caller_answer answer = std::exchange(answer_, {});
    if (done) {
        done(answer);
    }
}

} // namespace review
