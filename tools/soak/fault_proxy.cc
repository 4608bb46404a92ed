#include "soak/fault_proxy.h"

#include "core/endpoint_address.h"

#include <array>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace citronfall::soak {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Buffer size of one direction. While the buffer is full, TCP flow control slows the sender down.
constexpr std::size_t buffer_bytes = 64 * 1024;

/// Interval at which a direction that is held back checks whether the fault has ended.
constexpr duration blocked_poll_interval = std::chrono::milliseconds(10);

result<tcp::endpoint> endpoint_of(const std::string& text)
{
    const auto address = endpoint_address::make(text);
    if (!ok(address)) {
        return error_of(address);
    }
    return tcp::endpoint(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
}

enum class direction { request, answer };

/// One proxied connection with its two directions.
class proxied_connection : public std::enable_shared_from_this<proxied_connection> {
public:
    proxied_connection(asio::io_context& loop, tcp::socket client, const link_fault& fault, duration delay)
        : client_(std::move(client)), target_(loop), fault_(fault), delay_(delay)
    {
    }

    void start(const tcp::endpoint& target)
    {
        target_.async_connect(target, [self = shared_from_this()](error_code code) {
            if (code) {
                self->reset();
                return;
            }
            error_code ignored;
            self->client_.set_option(tcp::no_delay(true), ignored);
            self->target_.set_option(tcp::no_delay(true), ignored);
            self->read_next(direction::request);
            self->read_next(direction::answer);
        });
    }

    void reset()
    {
        for (tcp::socket* each : {&client_, &target_}) {
            error_code ignored;
            each->set_option(asio::socket_base::linger(true, 0), ignored); // Makes close() send a reset.
            each->close(ignored);
        }
    }

private:
    struct direction_buffer {
        std::array<char, buffer_bytes> buffer{};
        std::size_t size = 0;
    };

    void read_next(direction way)
    {
        direction_buffer& bytes = way == direction::request ? request_ : answer_;
        tcp::socket& from = way == direction::request ? client_ : target_;
        from.async_read_some(asio::buffer(bytes.buffer),
                             [self = shared_from_this(), way, &bytes](error_code code, std::size_t count) {
                                 if (code) {
                                     self->end(way);
                                     return;
                                 }
                                 bytes.size = count;
                                 self->forward(way, self->fault_ == link_fault::delayed ? self->delay_ : duration{});
                             });
    }

    [[nodiscard]] bool is_blocked(direction way) const
    {
        return fault_ == link_fault::silent || (fault_ == link_fault::no_answer && way == direction::answer);
    }

    void forward(direction way, duration later)
    {
        if (is_blocked(way) || later > duration{}) {
            const auto timer = std::make_shared<asio::steady_timer>(client_.get_executor(),
                                                                    std::max<duration>(later, blocked_poll_interval));
            timer->async_wait([self = shared_from_this(), way, timer](error_code code) {
                if (!code && self->client_.is_open()) {
                    self->forward(way, {});
                }
            });
            return;
        }
        direction_buffer& bytes = way == direction::request ? request_ : answer_;
        tcp::socket& to = way == direction::request ? target_ : client_;
        asio::async_write(to, asio::buffer(bytes.buffer.data(), bytes.size),
                          [self = shared_from_this(), way](error_code code, std::size_t) {
                              if (code) {
                                  self->reset();
                                  return;
                              }
                              self->read_next(way);
                          });
    }

    /// Handles the end of the stream of one direction.
    void end(direction way)
    {
        error_code ignored;
        tcp::socket& to = way == direction::request ? target_ : client_;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (std::exchange(half_closed_, true)) {
            client_.close(ignored);
            target_.close(ignored);
        }
    }

    tcp::socket client_;
    tcp::socket target_;
    const link_fault& fault_;
    duration delay_;
    direction_buffer request_;
    direction_buffer answer_;
    bool half_closed_ = false;
};

} // namespace

class fault_proxy::impl : public std::enable_shared_from_this<fault_proxy::impl> {
public:
    impl(asio::io_context& loop, fault_proxy_options options, tcp::endpoint target)
        : loop_(loop), options_(std::move(options)), target_(std::move(target)), acceptor_(loop)
    {
    }

    result<done> listen(const tcp::endpoint& endpoint)
    {
        error_code code;
        acceptor_.open(endpoint.protocol(), code);
        acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
        if (!acceptor_.bind(endpoint, code)) {
            acceptor_.listen(asio::socket_base::max_listen_connections, code);
        }
        if (code) {
            return error{{.kind = error_kind::bad_request, .detail = options_.listen + ": " + code.message()}};
        }
        accept();
        return done{};
    }

    void set_fault(link_fault fault)
    {
        fault_ = fault;
        if (fault == link_fault::resetting) {
            for (const std::weak_ptr<proxied_connection>& each : connections_) {
                if (const auto open = each.lock()) {
                    open->reset();
                }
            }
            connections_.clear();
        }
    }

    void stop()
    {
        error_code ignored;
        acceptor_.close(ignored);
        set_fault(link_fault::resetting);
    }

private:
    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](error_code code, tcp::socket socket) {
            if (code) {
                return;
            }
            std::erase_if(self->connections_, [](const auto& each) { return each.expired(); });
            const auto each = std::make_shared<proxied_connection>(self->loop_, std::move(socket), self->fault_,
                                                                   self->options_.delay);
            if (self->fault_ == link_fault::resetting) {
                each->reset();
            } else {
                self->connections_.insert(each);
                each->start(self->target_);
            }
            self->accept();
        });
    }

    asio::io_context& loop_;
    fault_proxy_options options_;
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    link_fault fault_ = link_fault::none;
    std::set<std::weak_ptr<proxied_connection>, std::owner_less<>> connections_;
};

result<std::unique_ptr<fault_proxy>> fault_proxy::make(boost::asio::io_context& loop, fault_proxy_options options)
{
    const auto listen = endpoint_of(options.listen);
    const auto target = endpoint_of(options.target);
    if (!ok(listen) || !ok(target)) {
        return error_of(ok(listen) ? target : listen);
    }
    std::unique_ptr<fault_proxy> made(
        new fault_proxy(std::make_shared<impl>(loop, std::move(options), value_of(target))));
    if (const auto listening = made->impl_->listen(value_of(listen)); !ok(listening)) {
        return error_of(listening);
    }
    return made;
}

fault_proxy::fault_proxy(std::shared_ptr<impl> all) : impl_(std::move(all)) {}

fault_proxy::~fault_proxy()
{
    impl_->stop();
}

void fault_proxy::set_fault(link_fault fault)
{
    impl_->set_fault(fault);
}

} // namespace citronfall::soak
