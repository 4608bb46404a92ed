#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/operator_report.h"

namespace citronfall {

/// Reports that a daemon provides.
enum class report_kind { health, metrics, operators };

struct report_request_fields {
    request_handle handle = 0;
    report_kind kind = report_kind::health;
    operator_subject subject = operator_subject::status; ///< For a report to operators.

    friend auto operator<=>(const report_request_fields&, const report_request_fields&) = default;
};

/// Request for a report on the daemon.
class report_request : public immutable<report_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
