#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct member_config_fields {
    std::string name;
    std::string address; ///< "ip:port"
    std::string data_center;

    friend auto operator<=>(const member_config_fields&, const member_config_fields&) = default;
};

/// Member of a group, as declared in the document.
class member_config : public immutable<member_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
