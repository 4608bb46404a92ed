#pragma once

#include "citronfall/peer_message.h"
#include "citronfall/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace citronfall {

/// Encodes and decodes peer messages as FlatBuffers (schema/peer.fbs).
class peer_codec {
public:
    /// Maximum length of a frame in bytes; a longer message goes in several.
    static constexpr std::size_t max_frame_bytes = 1024 * 1024;

    /// Encodes a message, without a length prefix. Thread-safe.
    [[nodiscard]] static std::string encode(const peer_message& message);

    /// Decodes the body of a frame. Error: bad_request if it is not a complete, valid message. Thread-safe.
    [[nodiscard]] static result<peer_message> decode(std::string_view bytes);
};

} // namespace citronfall
