#include "dispatch/connection_setup.h"

#include <algorithm>
#include <string>

namespace citronfall {
namespace {

/// Prepared shapes on one connection; a reset forgets them all, so that members do not collect names without end.
constexpr std::size_t max_prepared = 256;

/// Whether the connection holds a value that the session does not have, which only a reset can remove.
bool needs_reset(const pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape)
{
    const bool foreign = std::any_of(connection.values.begin(), connection.values.end(),
                                     [&](const auto& each) { return !values.contains(each.first); });
    const bool full = shape && !connection.prepared.contains(*shape) && connection.prepared.size() >= max_prepared;
    // Inside a transaction nothing of another session can be on the connection.
    return (foreign || full) && connection.transaction == transaction_state::none;
}

/// Name of a shape on a connection; sessions choose names of their own, which collide.
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
