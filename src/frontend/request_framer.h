#pragma once

#include "citronfall/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Pistache::Http::Private {
template <typename Message>
class ParserImpl;
} // namespace Pistache::Http::Private

namespace Pistache::Http {
class Request;
} // namespace Pistache::Http

namespace citronfall {

/// Result of consuming input.
enum class framing_result { incomplete, complete, malformed };

/// Splits a connection's input into requests and passes Pistache's parser exactly one request at a time.
///
/// Pistache's own input handler discards all data after the first request of a segment, parses the header again for
/// each segment, and responds with status 500 to some malformed headers. Not thread-safe: owned by the Pistache thread
/// of the connection.
class request_framer {
public:
    using parser = Pistache::Http::Private::ParserImpl<Pistache::Http::Request>;

    /// Precondition: `target` outlives the framer.
    request_framer(parser& target, std::size_t max_request_bytes);

    /// Consumes input up to the end of the current request and removes it from `rest`. After `complete`, the parser
    /// holds the request until restart(). After `malformed`, problem() tells the reason and no further input may be
    /// consumed.
    [[nodiscard]] framing_result consume(std::string_view& rest);

    /// Resets the parser for the next request.
    void restart();

    /// Whether a part of the current request has arrived.
    [[nodiscard]] bool started() const { return in_body_ || !header_.empty(); }

    /// Why the input is malformed; set after consume() returned `malformed`.
    [[nodiscard]] const std::optional<error>& problem() const { return problem_; }

private:
    [[nodiscard]] framing_result consume_header(std::string_view& rest);
    [[nodiscard]] framing_result consume_body(std::string_view& rest);
    [[nodiscard]] framing_result begin_body();
    [[nodiscard]] framing_result fail(error_kind kind, std::string detail);

    parser& parser_;
    std::size_t max_request_bytes_;
    std::string header_;
    bool in_body_ = false;
    std::size_t body_remaining_ = 0;
    std::optional<error> problem_;
};

} // namespace citronfall
