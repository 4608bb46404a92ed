#pragma once

#include "citronfall/instant.h"

#include <cstdint>

namespace citronfall {

/// Counts operations against a rate and a burst. Over any time t it gives at most capacity + rate x t tokens.
///
/// Levels are whole billionths of a token, so that rounding errors do not add up. Not thread-safe.
class token_bucket {
public:
    /// Sets the rate (0 to a million tokens a second) and the capacity in tokens. The level is cut to the capacity; a
    /// new bucket is empty.
    void configure(double rate_per_s, double capacity, instant now);

    /// Empties the bucket but for `level` tokens.
    void restart(double level, instant now);

    /// Takes up to `wanted` tokens and returns how many.
    std::uint32_t take(std::uint32_t wanted, instant now);

    /// Time until the bucket has one token; forever (duration::max) if it cannot have one.
    [[nodiscard]] duration time_to_next(instant now) const;

    /// Tokens in the bucket.
    [[nodiscard]] double level(instant now) const;

    /// Tokens that the bucket can hold.
    [[nodiscard]] double capacity() const;

private:
    [[nodiscard]] std::int64_t level_at(instant now) const;

    std::int64_t rate_ = 0;     ///< Billionths of a token in a microsecond, which equal thousandths in a second.
    std::int64_t capacity_ = 0; ///< Billionths of a token.
    std::int64_t level_ = 0;    ///< Billionths of a token, at updated_at_.
    instant updated_at_{};
};

} // namespace citronfall
