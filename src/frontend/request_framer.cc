#include "frontend/request_framer.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <pistache/http.h>

namespace citronfall {
namespace {

namespace http = Pistache::Http;

constexpr std::string_view header_end = "\r\n\r\n";

} // namespace

request_framer::request_framer(parser& target, std::size_t max_request_bytes)
    : parser_(target), max_request_bytes_(max_request_bytes)
{
}

framing_result request_framer::consume(std::string_view& rest)
{
    try {
        return in_body_ ? consume_body(rest) : consume_header(rest);
    } catch (const std::exception& problem) {
        return fail(error_kind::bad_request, std::string("malformed HTTP: ") + problem.what());
    }
}

void request_framer::restart()
{
    parser_.reset();
    header_.clear();
    in_body_ = false;
    body_remaining_ = 0;
}

framing_result request_framer::consume_header(std::string_view& rest)
{
    // A server should ignore empty lines before a request line (RFC 9112, section 2.2).
    while (header_.empty() && !rest.empty() && (rest.front() == '\r' || rest.front() == '\n')) {
        rest.remove_prefix(1);
    }
    const std::size_t known = header_.size();
    header_.append(rest);
    const std::size_t end = header_.find(header_end, known < header_end.size() ? 0 : known - header_end.size() + 1);
    if (std::min(end, header_.size()) > max_request_bytes_) {
        return fail(error_kind::too_large, "the header exceeds " + std::to_string(max_request_bytes_) + " bytes");
    }
    if (end == std::string::npos) {
        rest = {};
        return framing_result::incomplete;
    }
    header_.resize(end + header_end.size());
    rest.remove_prefix(header_.size() - known);
    if (!parser_.feed(header_.data(), header_.size())) {
        return fail(error_kind::too_large, "the request exceeds " + std::to_string(max_request_bytes_) + " bytes");
    }
    const bool parsed = parser_.parse() == http::Private::State::Done;
    // Together with Content-Length the body's extent would be ambiguous, which permits request smuggling.
    if (parser_.request.headers().has<http::Header::TransferEncoding>()) {
        return fail(error_kind::bad_request, "Transfer-Encoding is not supported; send Content-Length");
    }
    return parsed ? framing_result::complete : begin_body();
}

framing_result request_framer::begin_body()
{
    const auto& headers = parser_.request.headers();
    const auto length = headers.tryGet<http::Header::ContentLength>();
    if (parser_.step()->id() != http::Private::BodyStep::Id || !length) {
        return fail(error_kind::bad_request, "malformed HTTP header");
    }
    if (length->value() > max_request_bytes_ - std::min(header_.size(), max_request_bytes_)) {
        return fail(error_kind::too_large, "the request exceeds " + std::to_string(max_request_bytes_) + " bytes");
    }
    in_body_ = true;
    body_remaining_ = length->value();
    return framing_result::incomplete;
}

framing_result request_framer::consume_body(std::string_view& rest)
{
    const std::string_view part = rest.substr(0, body_remaining_);
    rest.remove_prefix(part.size());
    body_remaining_ -= part.size();
    if (!parser_.feed(part.data(), part.size())) {
        return fail(error_kind::too_large, "the request exceeds " + std::to_string(max_request_bytes_) + " bytes");
    }
    const bool parsed = parser_.parse() == http::Private::State::Done;
    if (parsed != (body_remaining_ == 0)) {
        return fail(error_kind::bad_request, "malformed HTTP body");
    }
    return parsed ? framing_result::complete : framing_result::incomplete;
}

framing_result request_framer::fail(error_kind kind, std::string detail)
{
    problem_ = error{{.kind = kind, .detail = std::move(detail)}};
    return framing_result::malformed;
}

} // namespace citronfall
