#pragma once

namespace citronfall {

/// Whether a statement may change data.
enum class statement_kind { read, write };

} // namespace citronfall
