#include "dispatch/connection_setup.h"

#include <algorithm>
#include <string>

namespace citronfall {
namespace {

/// Limit on the prepared shapes of one connection. A connection at the limit is reset, which drops all of them, so that
/// the number of prepared names on a member stays bounded.
constexpr std::size_t max_prepared = 256;

/// Whether the connection must be reset before the session uses it: it holds a value that the session has not set, or
/// it has no room for another prepared shape.
bool needs_reset(const pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape)
{
    const bool has_other_value = std::any_of(connection.values.begin(), connection.values.end(),
                                             [&](const auto& each) { return !values.contains(each.first); });
    const bool full = shape && !connection.prepared.contains(*shape) && connection.prepared.size() >= max_prepared;
    // During a transaction the connection belongs to this session alone, so it holds nothing of others.
    return (has_other_value || full) && connection.transaction == transaction_state::none;
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
    if (shape && (reset || !connection.prepared.contains(*shape))) {
        const std::size_t before = reset ? 0 : connection.prepared.size();
        statements.emplace_back(prepare_statement{.name = connection_name(before), .shape = *shape});
    }
    return statements;
}

void apply_setup(pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape)
{
    if (needs_reset(connection, values, shape)) {
        connection.prepared.clear();
    }
    connection.values = values;
    if (shape && !connection.prepared.contains(*shape)) {
        connection.prepared.emplace(*shape, connection_name(connection.prepared.size()));
    }
}

} // namespace citronfall
