#include "standin/line_server.h"

#include "core/endpoint_address.h"

#include <array>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace citronfall::standin {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t read_bytes = 16 * 1024;

struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::array<char, read_bytes> buffer{};
    std::string received;
    std::string writing;
    std::string unsent;
    bool close_when_sent = false;
};
using connection_ptr = std::shared_ptr<connection>;

} // namespace

class line_server::parts : public std::enable_shared_from_this<line_server::parts> {
public:
    parts(asio::io_context& loop, line_server_options options, tcp::endpoint endpoint)
        : options_(std::move(options)), endpoint_(std::move(endpoint)), loop_(loop)
    {
    }

    result<done> listen()
    {
        error_code code;
        acceptor_.emplace(loop_);
        acceptor_->open(endpoint_.protocol(), code);
        acceptor_->set_option(tcp::acceptor::reuse_address(true), code);
        if (!acceptor_->bind(endpoint_, code)) {
            acceptor_->listen(asio::socket_base::max_listen_connections, code);
        }
        if (code) {
            acceptor_.reset();
            return error{{.kind = error_kind::bad_request, .detail = options_.address + ": " + code.message()}};
        }
        accept();
        return done{};
    }

    void stop()
    {
        acceptor_.reset();
        for (const auto& [number, each] : std::exchange(connections_, {})) {
            error_code ignored;
            each->socket.set_option(asio::socket_base::linger(true, 0), ignored); // Makes close() send a reset.
            each->socket.close(ignored);
        }
    }

    void send(line_connection number, const std::string& bytes)
    {
        const auto found = connections_.find(number);
        if (found == connections_.end()) {
            return;
        }
        found->second->unsent += bytes;
        if (found->second->writing.empty()) {
            write(number, found->second);
        }
    }

    void close(line_connection number)
    {
        const auto found = connections_.find(number);
        if (found == connections_.end()) {
            return;
        }
        found->second->close_when_sent = true;
        if (found->second->writing.empty() && found->second->unsent.empty()) {
            drop(number);
        }
    }

private:
    void accept()
    {
        acceptor_->async_accept([self = shared_from_this()](error_code code, tcp::socket socket) {
            if (code || !self->acceptor_) {
                return;
            }
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const line_connection number = ++self->last_;
            const auto each = std::make_shared<connection>(std::move(socket));
            self->connections_.emplace(number, each);
            self->read(number, each);
            self->accept();
        });
    }

    void read(line_connection number, const connection_ptr& each)
    {
        each->socket.async_read_some(asio::buffer(each->buffer),
                                     [self = shared_from_this(), number, each](error_code code, std::size_t count) {
                                         if (code) {
                                             if (self->connections_.contains(number)) {
                                                 self->drop(number);
                                                 self->options_.closed(number);
                                             }
                                             return;
                                         }
                                         each->received.append(each->buffer.data(), count);
                                         self->take_lines(number, each);
                                         if (self->connections_.contains(number)) {
                                             self->read(number, each);
                                         }
                                     });
    }

    void take_lines(line_connection number, const connection_ptr& each)
    {
        std::size_t end = each->received.find("\r\n");
        while (end != std::string::npos && connections_.contains(number)) {
            const std::string line = each->received.substr(0, end);
            each->received.erase(0, end + 2);
            options_.received(number, line);
            end = each->received.find("\r\n");
        }
    }

    void write(line_connection number, const connection_ptr& each)
    {
        each->writing = std::exchange(each->unsent, {});
        asio::async_write(each->socket, asio::buffer(each->writing),
                          [self = shared_from_this(), number, each](error_code code, std::size_t) {
                              each->writing.clear();
                              if (code || !self->connections_.contains(number)) {
                                  return; // read() handles the end of the connection.
                              }
                              if (!each->unsent.empty()) {
                                  self->write(number, each);
                              } else if (each->close_when_sent) {
                                  self->drop(number);
                              }
                          });
    }

    void drop(line_connection number)
    {
        const auto found = connections_.find(number);
        error_code ignored;
        found->second->socket.close(ignored);
        connections_.erase(found);
    }

    line_server_options options_;
    tcp::endpoint endpoint_;
    asio::io_context& loop_;
    std::optional<tcp::acceptor> acceptor_;
    std::map<line_connection, connection_ptr> connections_;
    line_connection last_ = 0;
};

result<std::unique_ptr<line_server>> line_server::make(boost::asio::io_context& loop, line_server_options options)
{
    const auto address = endpoint_address::make(options.address);
    if (!ok(address)) {
        return error_of(address);
    }
    const tcp::endpoint endpoint(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
    std::unique_ptr<line_server> made(new line_server(std::make_shared<parts>(loop, std::move(options), endpoint)));
    if (const auto listening = made->restart(); !ok(listening)) {
        return error_of(listening);
    }
    return made;
}

line_server::line_server(std::shared_ptr<parts> all) : parts_(std::move(all)) {}

line_server::~line_server()
{
    parts_->stop();
}

void line_server::send(line_connection connection, const std::string& bytes)
{
    parts_->send(connection, bytes);
}

void line_server::close(line_connection connection)
{
    parts_->close(connection);
}

void line_server::stop()
{
    parts_->stop();
}

result<done> line_server::restart()
{
    return parts_->listen();
}

} // namespace citronfall::standin
