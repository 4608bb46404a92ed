#include "peer_link.h"

#include "core/endpoint_address.h"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace review {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using namespace std::chrono_literals;

/// TCP_USER_TIMEOUT of the daemons' connections to each other.
constexpr auto unacknowledged_limit = 1300ms;

/// Keepalive of these connections: one second idle, then two probes a second apart.
constexpr auto idle_limit = 3000ms;

/// Interval of checks whether a direction that is held back is free again.
constexpr auto hold_check_interval = 5ms;

tcp::endpoint endpoint_of(const std::string& text)
{
    const auto address = citronfall::value_of(citronfall::endpoint_address::make(text));
    return {asio::ip::make_address(address->host), address->port};
}

} // namespace

class peer_link::connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& loop, tcp::socket client, const bool& answers_held)
        : answers_held_(answers_held), sides_{side(std::move(client), loop), side(tcp::socket(loop), loop)}
    {
    }

    void start(const tcp::endpoint& target)
    {
        sides_[1].socket.async_connect(target, [self = shared_from_this()](error_code code) {
            if (code) {
                self->end(0);
                return;
            }
            for (std::size_t i : {0U, 1U}) {
                error_code ignored;
                self->sides_[i].socket.set_option(tcp::no_delay(true), ignored);
                self->read(i);
            }
        });
    }

    void silence()
    {
        silent_ = true;
        for (std::size_t i : {0U, 1U}) {
            end_after(i, idle_limit);
        }
    }

    [[nodiscard]] bool over() const { return !sides_[0].socket.is_open() && !sides_[1].socket.is_open(); }
    [[nodiscard]] bool silent() const { return silent_; }

    void end(std::size_t i)
    {
        error_code ignored;
        sides_[i].timer.cancel(ignored);
        sides_[i].socket.set_option(asio::socket_base::linger(true, 0), ignored); // Makes close() send a reset.
        sides_[i].socket.close(ignored);
    }

private:
    struct side {
        side(tcp::socket open, asio::io_context& loop) : socket(std::move(open)), timer(loop) {}

        tcp::socket socket;
        asio::steady_timer timer;
        std::array<char, 65536> buffer{};
        bool sent_in_vain = false;
    };

    void end_after(std::size_t i, std::chrono::milliseconds limit)
    {
        sides_[i].timer.expires_after(limit);
        sides_[i].timer.async_wait([self = shared_from_this(), i](error_code code) {
            if (!code) {
                self->end(i);
            }
        });
    }

    void read(std::size_t i)
    {
        sides_[i].socket.async_read_some(asio::buffer(sides_[i].buffer),
                                         [self = shared_from_this(), i](error_code code, std::size_t count) {
                                             if (code) {
                                                 self->end(i);
                                                 if (!self->silent_) {
                                                     self->end(1 - i);
                                                 }
                                                 return;
                                             }
                                             if (self->silent_) {
                                                 if (!std::exchange(self->sides_[i].sent_in_vain, true)) {
                                                     self->end_after(i, unacknowledged_limit);
                                                 }
                                                 self->read(i);
                                                 return;
                                             }
                                             self->forward(i, count);
                                         });
    }

    void forward(std::size_t i, std::size_t count)
    {
        if (i == 1 && answers_held_) {
            sides_[i].timer.expires_after(hold_check_interval);
            sides_[i].timer.async_wait([self = shared_from_this(), i, count](error_code code) {
                if (!code) {
                    self->forward(i, count);
                }
            });
            return;
        }
        asio::async_write(sides_[1 - i].socket, asio::buffer(sides_[i].buffer.data(), count),
                          [self = shared_from_this(), i](error_code code, std::size_t) {
                              if (code) {
                                  self->end(0);
                                  self->end(1);
                                  return;
                              }
                              self->read(i);
                          });
    }

    const bool& answers_held_;

    std::array<side, 2> sides_;
    bool silent_ = false;
};

peer_link::peer_link(asio::io_context& loop, const std::string& listen, const std::string& target)
    : loop_(loop), target_(endpoint_of(target)), acceptor_(loop, endpoint_of(listen))
{
    accept();
}

peer_link::~peer_link()
{
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& each : connections_) {
        each->end(0);
        each->end(1);
    }
}

std::size_t peer_link::silence()
{
    std::erase_if(connections_, [](const auto& each) { return each->over(); });
    std::size_t silenced = 0;
    for (const auto& each : connections_) {
        if (!each->silent()) {
            each->silence();
            ++silenced;
        }
    }
    return silenced;
}

void peer_link::hold_answers(bool held)
{
    answers_held_ = held;
}

std::size_t peer_link::open_connections() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& each) { return !each->over() && !each->silent(); }));
}

void peer_link::accept()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code) {
            return;
        }
        const auto each = std::make_shared<connection>(loop_, std::move(socket), answers_held_);
        connections_.insert(each);
        each->start(target_);
        accept();
    });
}

} // namespace review
