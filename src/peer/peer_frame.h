#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace citronfall {

/// What the body of a frame is.
enum class frame_kind {
    message,    ///< A whole message.
    piece,      ///< The next part of a message that is longer than one frame.
    last_piece, ///< The last part of such a message.
};

/// Four bytes in front of the body of each frame between daemons, little-endian: its length, and its kind in the two
/// highest bits. Releases without pieces take these bits for a length over the limit and close the connection.
struct frame_header {
    static constexpr std::size_t size = 4;

    frame_kind kind = frame_kind::message;
    std::size_t length = 0;

    friend auto operator<=>(const frame_header&, const frame_header&) = default;
};

/// The bytes of a header. Precondition: the length is below 2^30. Thread-safe.
[[nodiscard]] std::string encode(const frame_header& header);

/// The header in these bytes; nothing if its kind is unknown. Thread-safe.
[[nodiscard]] std::optional<frame_header>
decode_frame_header(const std::array<std::uint8_t, frame_header::size>& bytes);

} // namespace citronfall
