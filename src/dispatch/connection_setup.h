#pragma once

#include "pool/member_statement.h"
#include "pool/pooled_connection.h"
#include "pool/session_values.h"

#include <optional>
#include <vector>

namespace citronfall {

/// Statements that give a pooled connection the state of a session: its values and the prepared shape that it runs
/// next. Empty if the connection has that state already. Thread-safe.
[[nodiscard]] std::vector<member_statement> setup_statements(const pooled_connection& connection,
                                                             const session_values& values,
                                                             const std::optional<prepared_shape>& shape);

/// Records on the connection the effect of the statements that setup_statements() returned. Precondition: both were
/// called with the same arguments.
void apply_setup(pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape);

} // namespace citronfall
