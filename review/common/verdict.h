#pragma once

#include "soak/soak_history.h"
#include "standin/service_model.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace review {

/// The broken rules of a run, one line each: the rule and what was seen. Compares what the callers saw with what the
/// members ran.
[[nodiscard]] std::vector<std::string> broken_rules(const std::vector<citronfall::soak::recorded_operation>& history,
                                                    const citronfall::standin::service_model& service);

/// Writes what was sent, answered, run and committed.
void write_record(std::ostream& record, const std::vector<citronfall::soak::recorded_operation>& history,
                  const citronfall::standin::service_model& service, const std::vector<std::string>& broken);

/// Transactions that were committed as far as their callers know.
[[nodiscard]] std::size_t committed(const std::vector<citronfall::soak::recorded_operation>& history);

} // namespace review
