#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

struct section_status_fields {
    document_part_id section = document_part_id::databases;
    std::string state;                    ///< State in the chart `section`.
    std::string owner;                    ///< Owner of the section in force.
    std::uint64_t revision = 0;           ///< Revision in force on this daemon.
    std::uint64_t desired = 0;            ///< Highest accepted revision known to this daemon.
    std::size_t in_force_on = 0;          ///< Number of daemons on which `revision` or a later one is in force.
    std::size_t daemons = 0;              ///< Number of known daemons.
    duration in_force_for{};              ///< How long `revision` has been in force on this daemon.
    std::string author;                   ///< Of `revision`.
    std::string reason;                   ///< Of `revision`.
    std::int64_t time = 0;                ///< When `revision` was made; Unix time in ms.
    std::vector<std::string> differences; ///< Why the effective state differs from the section.

    friend auto operator<=>(const section_status_fields&, const section_status_fields&) = default;
};

/// Effective state of a section on one daemon.
class section_status : public immutable<section_status_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
