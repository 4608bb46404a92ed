#pragma once

#include "caller_session/caller_event.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace citronfall {

/// Splits the byte stream of one caller's connection into messages. Each connection has its own decoder.
struct caller_decoder {
    std::function<void(std::string_view)> add;         ///< Appends received bytes.
    std::function<std::optional<caller_event>()> next; ///< Next complete message; nothing if more bytes are needed.
    std::function<std::size_t()> pending;              ///< Number of buffered bytes of an incomplete message.
};

} // namespace citronfall
