#include "dispatch/connection_setup.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace citronfall {
namespace {

/// Limit on the prepared shapes of one connection. At the limit all of them are dropped, by a reset or, in a
/// transaction, one by one, so that the number of prepared names on a member stays bounded.
constexpr std::size_t max_prepared = 256;

/// Limit on their total length, so that what the connections of a daemon hold is bounded in bytes as well. A longer
/// shape is the only one of its connection.
constexpr std::size_t max_prepared_bytes = 64 * 1024;

/// Whether the connection has no room for a shape beside those that are prepared on it.
bool is_full(const pooled_connection& connection, const std::optional<prepared_shape>& shape)
{
    return shape && !connection.prepared.contains(*shape) && !connection.prepared.empty() &&
           (connection.prepared.size() >= max_prepared ||
            connection.prepared_bytes + (*shape)->shape.size() > max_prepared_bytes);
}

/// Whether the connection must be reset before the session uses it: it holds a value that the session has not set, or
/// it has no room for another prepared shape.
bool needs_reset(const pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape)
{
    const bool has_other_value = std::any_of(connection.values.begin(), connection.values.end(),
                                             [&](const auto& each) { return !values.contains(each.first); });
    // During a transaction the connection belongs to this session alone, so it holds nothing of others, and a reset
    // would end the transaction.
    return (has_other_value || is_full(connection, shape)) && connection.transaction == transaction_state::none;
}

std::size_t length(const session_values& values)
{
    return std::accumulate(values.begin(), values.end(), std::size_t{0}, [](std::size_t sum, const auto& each) {
        return sum + each.first.size() + each.second.size();
    });
}

/// Name under which a shape is prepared on a connection. The names that sessions choose may collide, so they are not
/// used on members.
std::string connection_name(std::size_t prepared_before)
{
    return "c" + std::to_string(prepared_before + 1);
}

} // namespace

std::vector<member_statement> setup_statements(const pooled_connection& connection, const session_values& values,
                                               const std::optional<prepared_shape>& shape)
{
    std::vector<member_statement> statements;
    const bool reset = needs_reset(connection, values, shape);
    if (reset) {
        statements.emplace_back(reset_connection{});
    }
    for (const auto& [name, value] : values) {
        const auto held = connection.values.find(name);
        if (reset || held == connection.values.end() || held->second != value) {
            statements.emplace_back(set_value{.name = name, .value = value});
        }
    }
    const bool drops = !reset && is_full(connection, shape);
    if (drops) {
        for (const auto& [dropped, name] : connection.prepared) {
            statements.emplace_back(deallocate_statement{.name = name});
        }
    }
    if (shape && (reset || !connection.prepared.contains(*shape))) {
        const std::size_t before = reset || drops ? 0 : connection.prepared.size();
        statements.emplace_back(prepare_statement{.name = connection_name(before), .shape = *shape});
    }
    return statements;
}

void apply_setup(pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape)
{
    if (needs_reset(connection, values, shape) || is_full(connection, shape)) {
        connection.prepared.clear();
        connection.prepared_bytes = 0;
    }
    if (connection.values != values) {
        connection.values = values;
        connection.value_bytes = length(values);
    }
    if (shape && !connection.prepared.contains(*shape)) {
        connection.prepared.emplace(*shape, connection_name(connection.prepared.size()));
        connection.prepared_bytes += (*shape)->shape.size();
    }
}

} // namespace citronfall
