#include "peer/peer_frame.h"

namespace citronfall {
namespace {

constexpr std::uint32_t piece_flag = 1U << 31;
constexpr std::uint32_t last_flag = 1U << 30;
constexpr std::uint32_t length_mask = last_flag - 1;

std::uint32_t flags(frame_kind kind)
{
    switch (kind) {
    case frame_kind::message:
        return 0;
    case frame_kind::piece:
        return piece_flag;
    case frame_kind::last_piece:
        break;
    }
    return piece_flag | last_flag;
}

} // namespace

std::string encode(const frame_header& header)
{
    const std::uint32_t value = static_cast<std::uint32_t>(header.length) | flags(header.kind);
    std::string bytes;
    for (unsigned shift = 0; shift < 32; shift += 8) {
        bytes.push_back(static_cast<char>((value >> shift) & 0xFFU));
    }
    return bytes;
}

std::optional<frame_header> decode_frame_header(const std::array<std::uint8_t, frame_header::size>& bytes)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        value |= static_cast<std::uint32_t>(bytes[i]) << (8 * i);
    }
    const std::size_t length = value & length_mask;
    for (const frame_kind kind : {frame_kind::message, frame_kind::piece, frame_kind::last_piece}) {
        if ((value & ~length_mask) == flags(kind)) {
            return frame_header{.kind = kind, .length = length};
        }
    }
    return std::nullopt;
}

} // namespace citronfall
