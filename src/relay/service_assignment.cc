#include "relay/service_assignment.h"

namespace citronfall {

std::map<std::string, service_assignment> make_service_assignments(const std::map<std::string, std::uint32_t>& limits,
                                                                   const std::vector<relay_candidate>& daemons,
                                                                   const relay_candidate& self,
                                                                   connection_sharing sharing)
{
    std::map<std::string, const relay_candidate*> by_name;
    for (const relay_candidate& each : daemons) {
        by_name[each->name] = &each;
    }
    std::map<std::string, service_assignment> assignments;
    for (auto& [service, assigned] : assigned_daemons(limits, daemons, sharing)) {
        std::vector<relay_candidate> others;
        for (const std::string& each : assigned) {
            if (each != self->name) {
                others.push_back(*by_name.at(each));
            }
        }
        const bool self_assigned = others.size() < assigned.size();
        assignments[service] = service_assignment{
            {.assigned = assigned, .targets = preferred_relay_targets(self, others), .self_assigned = self_assigned}};
    }
    return assignments;
}

} // namespace citronfall
