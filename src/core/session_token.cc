#include "citronfall/session_token.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace citronfall {
namespace {

/// Limits the parsing work that a malicious header can cause; fits 64 groups with names of 64 characters.
constexpr std::size_t max_header_bytes = 8 * 1024;

/// 64-bit FNV-1a: detects truncation and corruption. The token grants no rights, so it needs no keyed hash.
std::uint64_t checksum(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return hash;
}

std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (problem != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

std::string to_hex(std::uint64_t value)
{
    char buffer[16];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, 16).ptr;
    return {buffer, end};
}

error parse_error(const std::string& why)
{
    return error{{.kind = error_kind::bad_request, .detail = "session token: " + why}};
}

} // namespace

result<session_token> session_token::make(std::string_view header)
{
    if (header.size() > max_header_bytes) {
        return parse_error("too long");
    }
    const auto separator = header.rfind(';');
    if (separator == std::string_view::npos ||
        parse_number(header.substr(separator + 1), 16) != checksum(header.substr(0, separator))) {
        return parse_error("checksum does not match");
    }
    session_token_fields fields;
    std::string_view rest = header.substr(0, separator);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        const auto dot = pair.find('.', equals == std::string_view::npos ? 0 : equals);
        if (equals == std::string_view::npos || equals == 0 || dot == std::string_view::npos) {
            return parse_error("malformed pair");
        }
        const auto term = parse_number(pair.substr(equals + 1, dot - equals - 1), 10);
        const auto index = parse_number(pair.substr(dot + 1), 10);
        if (!term || !index) {
            return parse_error("malformed position");
        }
        fields.positions[std::string(pair.substr(0, equals))] = log_position{{.term = *term, .index = *index}};
    }
    return session_token{std::move(fields)};
}

std::string session_token::encode() const
{
    std::string text;
    for (const auto& [group, position] : (*this)->positions) {
        if (!text.empty()) {
            text += ',';
        }
        text += group + '=' + std::to_string(position->term) + '.' + std::to_string(position->index);
    }
    return text + ';' + to_hex(checksum(text));
}

log_position session_token::position(const std::string& group) const
{
    const auto found = (*this)->positions.find(group);
    return found == (*this)->positions.end() ? log_position{} : found->second;
}

session_token session_token::seen(const std::string& group, const log_position& position) const
{
    if (position <= this->position(group)) {
        return *this;
    }
    return with(*this, [&](session_token_fields& fields) { fields.positions[group] = position; });
}

} // namespace citronfall
