#pragma once

#include "citronfall/immutable.h"
#include "citronfall/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronfall {

/// Fields of an endpoint address.
struct endpoint_address_fields {
    std::string host; ///< Numeric IPv4 or IPv6 address.
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint_address_fields&, const endpoint_address_fields&) = default;
};

/// Address of a TCP endpoint. Host names are not supported, so no name resolution takes place.
class endpoint_address : public immutable<endpoint_address_fields> {
public:
    using immutable::immutable;

    /// Parses "127.0.0.1:8080" or "[::1]:8080". Error: bad_request. Thread-safe.
    [[nodiscard]] static result<endpoint_address> make(std::string_view text);

    /// The address in the format that make() parses. Thread-safe.
    [[nodiscard]] std::string text() const;

    /// Whether the host is a loopback address. Thread-safe.
    [[nodiscard]] bool loopback() const;
};

} // namespace citronfall
