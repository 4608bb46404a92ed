#pragma once

#include "citronfall/error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace citronfall {

/// Either the value of a successful call or an error.
template <class T>
using result = std::variant<T, error>;

/// Value of a successful call that returns nothing.
struct done {
    friend auto operator<=>(const done&, const done&) = default;
};

/// Whether the call succeeded. Thread-safe.
template <class T>
[[nodiscard]] bool ok(const result<T>& outcome)
{
    return std::holds_alternative<T>(outcome);
}

/// The value of a successful call. Precondition: ok(outcome).
template <class T>
[[nodiscard]] const T& value_of(const result<T>& outcome)
{
    assert(ok(outcome));
    return *std::get_if<T>(&outcome);
}

/// Moves the value out of a successful call. Precondition: ok(outcome).
template <class T>
[[nodiscard]] T take(result<T>&& outcome)
{
    assert(ok(outcome));
    return std::move(*std::get_if<T>(&outcome));
}

/// The error of a failed call. Precondition: !ok(outcome).
template <class T>
[[nodiscard]] const error& error_of(const result<T>& outcome)
{
    assert(!ok(outcome));
    return *std::get_if<error>(&outcome);
}

} // namespace citronfall
