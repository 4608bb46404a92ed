#include "http_server.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <utility>

namespace review {
namespace {

std::string decoded(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            plain.push_back(text[i]);
        }
    }
    return plain;
}

void parse_target(const std::string& target, http_request& request)
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
    while (at < target.size()) {
        const auto end = std::min(target.find('&', at), target.size());
        const std::string pair = target.substr(at, end - at);
        const auto equals = pair.find('=');
        request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decoded(pair.substr(equals + 1));
        at = end + 1;
    }
}

/// Takes a whole request from the front of `input`; nothing if it is incomplete.
std::optional<http_request> take_request(std::string& input)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    http_request request;
    const std::string head = input.substr(0, end + 2);
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const auto blank = first.find(' ');
    request.method = first.substr(0, blank);
    parse_target(first.substr(blank + 1, first.rfind(' ') - blank - 1), request);
    at += 2;
    while (at < head.size()) {
        const auto line_end = head.find("\r\n", at);
        const std::string line = head.substr(at, line_end - at);
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        request.headers[name] = value == std::string::npos ? "" : line.substr(value);
        at = line_end + 2;
    }
    const auto length = request.headers.find("content-length");
    const std::size_t body = length == request.headers.end() ? 0 : std::stoul(length->second);
    if (input.size() < end + 4 + body) {
        return std::nullopt;
    }
    request.body = input.substr(end + 4, body);
    input.erase(0, end + 4 + body);
    return request;
}

std::string encoded(const http_response& response)
{
    return "HTTP/1.1 " + std::to_string(response.status) +
           " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
           "\r\n\r\n" + response.body;
}

} // namespace

http_server::http_server(event_loop& loop, handler handle, std::shared_ptr<link_rate> rate)
    : handle_(std::move(handle)),
      listener_(
          loop, [this](const stream_ptr& connection) { serve(connection); }, std::move(rate))
{
}

void http_server::serve(const stream_ptr& connection)
{
    stream* const key = connection.get();
    connections_[key] = connection;
    connection->start(
        [this, key] {
            if (const auto found = connections_.find(key); found != connections_.end()) {
                read_request(found->second);
            }
        },
        [this, key] { connections_.erase(key); });
}

void http_server::read_request(const stream_ptr& connection)
{
    const std::weak_ptr<stream> target = connection;
    while (const auto request = take_request(connection->input)) {
        handle_(*request, [target](const http_response& response) {
            if (const auto alive = target.lock()) {
                alive->send(encoded(response));
            }
        });
    }
}

} // namespace review
