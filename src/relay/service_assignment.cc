#include "relay/service_assignment.h"

#include "relay/assigned_daemons.h"

#include <algorithm>
#include <utility>

namespace citronfall {

service_assignment make_service_assignment(const std::string& service, const std::vector<std::string>& daemons,
                                           std::uint32_t limit, const std::string& self)
{
    service_assignment_fields fields;
    fields.assigned = assigned_daemons(service, daemons, limit);
    fields.targets = preferred_relay_targets(self, fields.assigned);
    fields.self_assigned = std::erase(fields.targets, self) > 0;
    return service_assignment{std::move(fields)};
}

} // namespace citronfall
