#pragma once

#include "citronfall/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace citronfall {

/// Compressed difference from `base` to `value`, with a checksum of `value`. An empty base gives the compressed value.
/// Text that both have in common costs almost nothing, wherever it stands, unless both are in the same memory.
/// Thread-safe.
[[nodiscard]] std::string make_value_delta(std::string_view base, std::string_view value);

/// The value from which make_value_delta() made `delta` with the same base. Error (bad_request): the delta is damaged,
/// was made with another base, or its value has more than `max_size` bytes. Thread-safe.
[[nodiscard]] result<std::string> apply_value_delta(std::string_view base, std::string_view delta,
                                                    std::size_t max_size);

} // namespace citronfall
