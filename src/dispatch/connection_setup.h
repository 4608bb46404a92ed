#pragma once

#include "pool/member_statement.h"
#include "pool/pooled_connection.h"
#include "pool/session_settings.h"

#include <optional>
#include <vector>

namespace citronfall {

/// The statements that make a connection look like a session's own: its values and the prepared shape that it is about
/// to run. Empty if the connection does so already. Thread-safe.
[[nodiscard]] std::vector<member_statement> setup_statements(const pooled_connection& connection,
                                                             const session_values& values,
                                                             const std::optional<prepared_shape>& shape);

/// Records on the connection what the statements of setup_statements() will have done. Precondition: same arguments as
/// there.
void apply_setup(pooled_connection& connection, const session_values& values,
                 const std::optional<prepared_shape>& shape);

} // namespace citronfall
