#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <string>

namespace citronfall {

struct primary_notice_fields {
    std::string service;
    std::string member;
    term_number term = 0;

    friend auto operator<=>(const primary_notice_fields&, const primary_notice_fields&) = default;
};

/// Hint to peers that a member leads its service, so that they probe it first. Does not prove leadership.
using primary_notice = immutable<primary_notice_fields>;

} // namespace citronfall
