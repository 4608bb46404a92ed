#pragma once

#include "citronfall/instant.h"

#include <array>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace review {

/// A TCP proxy on loopback that stands for the network between two daemons. It can hold one direction back for a while,
/// or silence the open connections for good, while new ones work.
///
/// Nothing passes a silent connection. Each side learns of it when its own kernel would tell: some time after the first
/// byte that it sent in vain, or by keepalive if it sends nothing. Used on the thread of the loop.
class peer_link {
public:
    /// Addresses are "ip:port".
    peer_link(boost::asio::io_context& loop, const std::string& listen, const std::string& target);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;

    /// Silences the open connections. Returns how many there are.
    std::size_t silence();

    /// While `held`, nothing passes from the target to the client; what was sent meanwhile passes afterwards.
    void hold_answers(bool held);

    /// Connections that are open and not silent.
    [[nodiscard]] std::size_t open_connections() const;

private:
    class connection;

    void accept();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<connection>> connections_;
    bool answers_held_ = false;
};

} // namespace review
