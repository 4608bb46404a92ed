#include "peer/relay_codec.h"

#include <string>
#include <utility>
#include <vector>

namespace citronfall {
namespace {

std::string text(const flatbuffers::String* source)
{
    return source == nullptr ? std::string{} : source->str();
}

std::uint64_t micros(duration value)
{
    return value.count() < 0 ? 0 : static_cast<std::uint64_t>(value.count());
}

duration from_micros(std::uint64_t value)
{
    return duration(static_cast<duration::rep>(value));
}

bool known(const wire::relayed_statement& source)
{
    return source.verb() <= static_cast<std::uint8_t>(statement_verb::deallocate) &&
           source.consistency() <= static_cast<std::uint8_t>(read_consistency::read_your_writes) &&
           source.kind() <= static_cast<std::uint8_t>(transaction_step::in_transaction);
}

route read_route(const wire::relayed_statement& source)
{
    return route{{.name = text(source.route_name()),
                  .database = text(source.database()),
                  .service = text(source.service()),
                  .consistency = static_cast<read_consistency>(source.consistency()),
                  .statement_timeout = from_micros(source.timeout_us()),
                  .target_latency = from_micros(source.target_us()),
                  .max_staleness = from_micros(source.staleness_us()),
                  .priority = source.priority()}};
}

} // namespace

flatbuffers::Offset<wire::relayed_statement> relay_codec::encode(flatbuffers::FlatBufferBuilder& out,
                                                                 const relayed_statement& value)
{
    const task_request& request = value->request;
    std::vector<flatbuffers::Offset<wire::session_value>> values;
    for (const auto& [name, each] : request->values) {
        values.push_back(wire::Createsession_valueDirect(out, name.c_str(), each.c_str()));
    }
    const prepared_shape shape = request->shape.value_or(prepared_shape{});
    const log_position own = request->newest_own_commit ? (*request->newest_own_commit)->position : log_position{};
    return wire::Createrelayed_statementDirect(
        out, value->number, request->request_id.c_str(), static_cast<std::uint8_t>(request->query->verb),
        request->query->text.c_str(), request->query->name.c_str(), request->query->argument.c_str(),
        request->shape.has_value(), shape->shape.c_str(), shape->writes, request->matched_route->name.c_str(),
        request->matched_route->database.c_str(), request->matched_route->service.c_str(),
        static_cast<std::uint8_t>(request->matched_route->consistency),
        micros(request->matched_route->statement_timeout), micros(request->matched_route->target_latency),
        micros(request->matched_route->max_staleness), request->matched_route->priority,
        static_cast<std::uint8_t>(request->kind), request->writes, request->wrote_before, request->proves_lead,
        request->newest_own_commit.has_value(), own->term, own->index, micros(value->own_commit_age), &values,
        value->transaction, request->tenant.c_str());
}

flatbuffers::Offset<wire::relayed_outcome> relay_codec::encode(flatbuffers::FlatBufferBuilder& out,
                                                               const relayed_outcome& value)
{
    const task_outcome& outcome = value->outcome;
    std::vector<flatbuffers::Offset<flatbuffers::String>> rows;
    for (const std::string& row : outcome->rows) {
        rows.push_back(out.CreateString(row));
    }
    const error failure = outcome->failure.value_or(error{});
    const log_position position = outcome->position.value_or(log_position{});
    return wire::Createrelayed_outcomeDirect(out, value->number, &rows, outcome->receipt.c_str(),
                                             outcome->failure.has_value(), static_cast<std::uint8_t>(failure->kind),
                                             failure->detail.c_str(), static_cast<std::uint8_t>(outcome->state),
                                             outcome->position.has_value(), position->term, position->index,
                                             value->transaction, outcome->leads, outcome->member.c_str());
}

std::optional<relayed_statement> relay_codec::read(const wire::relayed_statement& source)
{
    if (!known(source)) {
        return std::nullopt;
    }
    task_request_fields request{.request_id = text(source.request_id()),
                                .tenant = text(source.tenant()),
                                .query = parsed_statement{{.verb = static_cast<statement_verb>(source.verb()),
                                                           .text = text(source.text()),
                                                           .name = text(source.name()),
                                                           .argument = text(source.argument())}},
                                .matched_route = read_route(source),
                                .kind = static_cast<transaction_step>(source.kind()),
                                .writes = source.writes(),
                                .wrote_before = source.wrote_before(),
                                .proves_lead = source.proves_lead()};
    if (source.has_shape()) {
        request.shape = prepared_shape{{.shape = text(source.shape()), .writes = source.shape_writes()}};
    }
    if (source.has_own_commit()) {
        request.newest_own_commit =
            min_read_position{{.position = log_position{{.term = source.own_term(), .index = source.own_index()}}}};
    }
    for (flatbuffers::uoffset_t i = 0; source.values() != nullptr && i < source.values()->size(); ++i) {
        const auto* each = source.values()->Get(i);
        request.values[text(each->name())] = text(each->value());
    }
    return relayed_statement{{.number = source.number(),
                              .request = task_request{std::move(request)},
                              .own_commit_age = from_micros(source.own_age_us()),
                              .transaction = source.transaction()}};
}

std::optional<relayed_outcome> relay_codec::read(const wire::relayed_outcome& source)
{
    if (source.failure_kind() >= error_kind_count ||
        source.state() > static_cast<std::uint8_t>(transaction_state::failed)) {
        return std::nullopt;
    }
    task_outcome_fields outcome{.receipt = text(source.receipt()),
                                .state = static_cast<transaction_state>(source.state()),
                                .leads = source.leads(),
                                .member = text(source.member())};
    for (flatbuffers::uoffset_t i = 0; source.rows() != nullptr && i < source.rows()->size(); ++i) {
        outcome.rows.push_back(text(source.rows()->Get(i)));
    }
    if (source.has_failure()) {
        outcome.failure =
            error{{.kind = static_cast<error_kind>(source.failure_kind()), .detail = text(source.failure_detail())}};
    }
    if (source.has_position()) {
        outcome.position = log_position{{.term = source.term(), .index = source.index()}};
    }
    return relayed_outcome{
        {.number = source.number(), .outcome = task_outcome{std::move(outcome)}, .transaction = source.transaction()}};
}

} // namespace citronfall
