#include "core/endpoint_address.h"

#include <charconv>

#include <arpa/inet.h>

namespace citronfall {
namespace {

error parse_error(std::string_view text)
{
    return error{
        {.kind = error_kind::bad_request, .detail = "not ip:port with a numeric IP address: " + std::string(text)}};
}

bool numeric_host(const std::string& host)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, host.c_str(), buffer) == 1 || inet_pton(AF_INET6, host.c_str(), buffer) == 1;
}

} // namespace

result<endpoint_address> endpoint_address::make(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return parse_error(text);
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (problem != std::errc{} || end != digits.data() + digits.size() || port == 0 || !numeric_host(host)) {
        return parse_error(text);
    }
    return endpoint_address{{.host = std::move(host), .port = port}};
}

std::string endpoint_address::text() const
{
    const bool ipv6 = (*this)->host.find(':') != std::string::npos;
    return (ipv6 ? "[" + (*this)->host + "]" : (*this)->host) + ":" + std::to_string((*this)->port);
}

bool endpoint_address::loopback() const
{
    return (*this)->host == "::1" || (*this)->host.starts_with("127.");
}

} // namespace citronfall
