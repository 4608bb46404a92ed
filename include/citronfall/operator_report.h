#pragma once

#include "citronfall/document_state.h"
#include "citronfall/group_status.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/section_status.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// What operators ask a daemon for.
enum class operator_subject { status, document, overrides, groups, sessions, drain };

/// Fields of an operators' report.
struct operator_report_fields {
    request_handle handle = 0;
    operator_subject subject = operator_subject::status;
    std::string daemon;
    std::string state;       ///< Of the chart `daemon`.
    bool watching = false;   ///< Whether the daemon holds a watcher lease.
    std::size_t daemons = 0; ///< Known daemons, this one included.
    std::vector<section_status> sections;
    document_state document;                     ///< In force.
    std::vector<std::string> unrecorded_changes; ///< Changes made outside the tool to which automation yields.
    std::vector<group_status> groups;
    std::size_t requests_in_progress = 0;

    friend auto operator<=>(const operator_report_fields&, const operator_report_fields&) = default;
};

/// Answer to an operator's question; only the fields that belong to the subject are set.
class operator_report : public immutable<operator_report_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
