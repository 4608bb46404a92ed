#pragma once

#include "citronfall/caller_answer.h"
#include "citronfall/health_report.h"
#include "citronfall/metrics_report.h"
#include "citronfall/operator_report.h"

#include <variant>

namespace citronfall {

/// Answers of the decision thread to a front end.
using decision_answer = std::variant<caller_answer, health_report, metrics_report, operator_report>;

} // namespace citronfall
