#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a section's status.
struct section_status_fields {
    document_part_id section = document_part_id::databases;
    std::string state;                    ///< State of the chart `section`.
    std::string owner;                    ///< Of the section in force.
    std::uint64_t revision = 0;           ///< In force on this daemon.
    std::uint64_t desired = 0;            ///< Highest accepted revision that this daemon has heard of.
    std::size_t in_force_on = 0;          ///< Known daemons on which `revision` or a later one is in force.
    std::size_t daemons = 0;              ///< Known daemons.
    duration in_force_for{};              ///< Since `revision` is in force on this daemon.
    std::string author;                   ///< Of `revision`.
    std::string reason;                   ///< Of `revision`.
    std::int64_t time = 0;                ///< Milliseconds since 1970 at which `revision` was made.
    std::vector<std::string> differences; ///< Why the state in force differs from what the section states.

    friend auto operator<=>(const section_status_fields&, const section_status_fields&) = default;
};

/// The true picture of one section on one daemon.
class section_status : public immutable<section_status_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
