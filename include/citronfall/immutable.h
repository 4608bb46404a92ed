#pragma once

#include <compare>
#include <utility>

namespace citronfall {

/// Base of the value types: an aggregate of fields that can be read and compared but not modified.
///
/// A value type derives from immutable<its fields> and inherits the constructors. The fields are an aggregate with a
/// defaulted three-way comparison, and values are built with designated initialisers. A variable of a value type can be
/// assigned a new value, but a value itself never changes. Thread-safe to read.
template <class Fields>
class immutable {
public:
    using fields_type = Fields;

    /// Value with default-initialised fields.
    immutable() = default;

    immutable(Fields fields) : fields_(std::move(fields)) {}

    [[nodiscard]] const Fields& operator*() const noexcept { return fields_; }

    [[nodiscard]] const Fields* operator->() const noexcept { return &fields_; }

    friend bool operator==(const immutable&, const immutable&) = default;
    friend auto operator<=>(const immutable&, const immutable&) = default;

private:
    Fields fields_{};
};

/// Returns a copy of `value` after calling `change` on a reference to its fields.
template <class Value, class Change>
[[nodiscard]] Value with(const Value& value, Change change)
{
    typename Value::fields_type fields = *value;
    change(fields);
    return Value{std::move(fields)};
}

} // namespace citronfall
