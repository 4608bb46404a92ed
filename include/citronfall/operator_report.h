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

/// Subjects on which operators can query a daemon.
enum class operator_subject { status, document, overrides, groups, sessions, drain };

struct operator_report_fields {
    request_handle handle = 0;
    operator_subject subject = operator_subject::status;
    std::string daemon;
    std::string state;       ///< State in the chart `daemon`.
    bool watching = false;   ///< Whether the daemon holds a lease to watch the document.
    std::size_t daemons = 0; ///< Number of known daemons, including this one.
    std::vector<section_status> sections;
    document_state document;                     ///< Document in force.
    std::vector<std::string> unrecorded_changes; ///< Changes made outside the tool that suspend automation.
    std::vector<group_status> groups;
    std::size_t requests_in_progress = 0;

    friend auto operator<=>(const operator_report_fields&, const operator_report_fields&) = default;
};

/// Answer to an operator's query. Only the fields that belong to the subject are set.
class operator_report : public immutable<operator_report_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
