#pragma once

#include "stream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;   ///< Decoded.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body; ///< JSON.
};

/// HTTP/1.1 server on a free loopback port, one request at a time on each connection. Not thread-safe.
class http_server {
public:
    using answer_function = std::function<void(const http_response&)>;
    using handler = std::function<void(const http_request&, const answer_function&)>;

    http_server(event_loop& loop, handler handle, std::shared_ptr<link_rate> rate = nullptr);

    [[nodiscard]] std::string address() const { return listener_.address(); }

private:
    void serve(const stream_ptr& connection);
    void read_request(const stream_ptr& connection);

    handler handle_;
    std::map<stream*, stream_ptr> connections_;
    listener listener_;
};

} // namespace review
