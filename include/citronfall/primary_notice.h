#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <string>

namespace citronfall {

/// Fields of a notice.
struct primary_notice_fields {
    std::string service;
    std::string member;
    term_number term = 0;

    friend auto operator<=>(const primary_notice_fields&, const primary_notice_fields&) = default;
};

/// Tells peers that a member proved to lead its service, so that they try it first. No evidence in itself.
using primary_notice = immutable<primary_notice_fields>;

} // namespace citronfall
