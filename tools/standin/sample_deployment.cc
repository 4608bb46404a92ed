#include "standin/sample_deployment.h"

#include <utility>

namespace citronfall::standin {
namespace {

constexpr const char* service = "ledger";

route route_to(const std::string& database, read_consistency consistency, duration statement_timeout)
{
    return route{{.name = database,
                  .database = database,
                  .service = service,
                  .consistency = consistency,
                  .statement_timeout = statement_timeout,
                  .target_latency = std::chrono::milliseconds(250),
                  .max_staleness = consistency == read_consistency::primary ? duration{} : sample_staleness,
                  .priority = 1}};
}

} // namespace

service_configuration sample_deployment(std::uint64_t version, std::uint32_t max_connections,
                                        const std::vector<std::string>& more_databases, duration statement_timeout,
                                        std::uint32_t sync_replicas)
{
    service_configuration_fields fields{.version = version, .idle_transaction_limit = std::chrono::seconds(3)};
    fields.routes["fresh"] = route_to("fresh", read_consistency::primary, statement_timeout);
    fields.routes["aged"] = route_to("aged", read_consistency::bounded_staleness, statement_timeout);
    fields.routes["own"] = route_to("own", read_consistency::read_your_writes, statement_timeout);
    for (const std::string& each : more_databases) {
        fields.routes[each] = route_to(each, read_consistency::read_your_writes, statement_timeout);
    }
    fields.services[service] =
        service_policy{{.name = service, .max_connections = max_connections, .sync_replicas = sync_replicas}};
    return service_configuration{std::move(fields)};
}

} // namespace citronfall::standin
