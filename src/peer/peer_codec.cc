#include "peer/peer_codec.h"

#include "peer/relay_codec.h"
#include "peer_generated.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <flatbuffers/flatbuffers.h>

namespace citronfall {
namespace {

using builder = flatbuffers::FlatBufferBuilder;

/// Stands for an unknown age; the default of the field.
constexpr std::uint32_t no_age = 0xFFFFFFFF;

struct encoded_body {
    wire::body type = wire::body::NONE;
    flatbuffers::Offset<void> offset;
};

std::vector<wire::part_digest> to_wire(const std::vector<part_digest>& digests)
{
    std::vector<wire::part_digest> list;
    for (const part_digest& each : digests) {
        list.emplace_back(static_cast<std::uint8_t>(each->part), each->revision, each->hash);
    }
    return list;
}

std::uint32_t whole_ms(duration value)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, no_age));
}

/// An age in milliseconds; no_age if it is unknown or too long for the field.
std::uint32_t to_wire(const std::optional<duration>& age)
{
    return age ? whole_ms(*age) : no_age;
}

std::optional<duration> read_age(std::uint32_t age)
{
    return age == no_age ? std::nullopt : std::optional<duration>(std::chrono::milliseconds(age));
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> create_bytes(builder& out, const std::string& bytes)
{
    return out.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

encoded_body encode_body(builder& out, const peer_hello& value)
{
    return {wire::body::hello,
            wire::CreatehelloDirect(out, value->daemon.c_str(), value->region.c_str(), value->data_center.c_str(),
                                    value->incarnation, whole_ms(value->receive_timeout), value->accepts_pieces)
                .Union()};
}

encoded_body encode_body(builder& out, const peer_digest& value)
{
    const auto parts = to_wire(value->parts);
    std::vector<wire::daemon_view> views;
    for (const daemon_view& each : value->views) {
        // Both fit in 32 bits: revisions count changes by operators, and the heartbeat counter grows once a second.
        views.emplace_back(each->daemon, static_cast<std::uint32_t>(each->document),
                           static_cast<std::uint32_t>(each->beat));
    }
    return {wire::body::digest, wire::CreatedigestDirect(out, value->document, &parts, &views).Union()};
}

encoded_body encode_body(builder& out, const section_update& value)
{
    const auto digests = to_wire(value->digests);
    std::vector<flatbuffers::Offset<wire::document_part>> parts;
    for (const document_part& each : value->parts) {
        parts.push_back(wire::Createdocument_part(out, static_cast<std::uint8_t>(each->part), each->revision,
                                                  out.CreateString(each->text)));
    }
    return {wire::body::section_update,
            wire::Createsection_updateDirect(out, value->base, value->document, &digests, &parts).Union()};
}

encoded_body encode_body(builder& out, const suspicion_query& value)
{
    return {wire::body::suspicion_query, wire::Createsuspicion_queryDirect(out, value->number, value->group.c_str(),
                                                                           value->member.c_str(), value->term)
                                             .Union()};
}

encoded_body encode_body(builder& out, const suspicion_reply& value)
{
    return {wire::body::suspicion_reply,
            wire::Createsuspicion_reply(out, value->number, value->suspects, value->term).Union()};
}

encoded_body encode_body(builder& out, const share_request& value)
{
    return {wire::body::share_request,
            wire::Createshare_requestDirect(out, value->member->group.c_str(), value->member->member.c_str(),
                                            value->wanted, value->held)
                .Union()};
}

encoded_body encode_body(builder& out, const share_grant& value)
{
    return {wire::body::share_grant, wire::Createshare_grantDirect(out, value->number, value->member->group.c_str(),
                                                                   value->member->member.c_str(), value->connections)
                                         .Union()};
}

encoded_body encode_body(builder& out, const share_ack& value)
{
    return {wire::body::share_ack, wire::Createshare_ack(out, value->number, value->accepted).Union()};
}

encoded_body encode_body(builder& out, const store_digest& value)
{
    std::vector<std::uint64_t> changed_at;
    std::vector<std::uint64_t> eras;
    std::vector<std::uint64_t> complete_to;
    std::vector<std::uint64_t> contents;
    for (const range_digest& each : value->ranges) {
        changed_at.push_back(each->changed_at.revision);
        eras.push_back(each->changed_at.era);
        if (each->contents) {
            complete_to.push_back(each->complete_to.revision);
            contents.push_back(*each->contents);
        }
    }
    return {wire::body::store_digest,
            wire::Createstore_digestDirect(out, &changed_at, value->store_live, &eras, &complete_to, &contents,
                                           to_wire(value->current_age), to_wire(value->store_failure_age))
                .Union()};
}

encoded_body encode_body(builder& out, const store_request& value)
{
    std::vector<flatbuffers::Offset<wire::known_value>> known_values;
    for (const known_value& each : value->known_values) {
        known_values.push_back(wire::Createknown_valueDirect(out, each->key.c_str(), each->revision));
    }
    return {wire::body::store_request,
            wire::Createstore_requestDirect(out, value->range, value->after.revision, value->after.era,
                                            value->accepts_deltas, &known_values)
                .Union()};
}

encoded_body encode_body(builder& out, const store_changes& value)
{
    std::vector<flatbuffers::Offset<wire::store_item>> items;
    for (const store_item& each : value->items) {
        items.push_back(wire::Createstore_item(out, out.CreateString(each->key), create_bytes(out, each->value),
                                               each->revision, each->lease, each->deleted));
    }
    std::vector<flatbuffers::Offset<wire::item_delta>> deltas;
    for (const item_delta& each : value->deltas) {
        deltas.push_back(wire::Createitem_delta(out, out.CreateString(each->key), each->revision, each->lease,
                                                each->base_revision, create_bytes(out, each->delta)));
    }
    return {wire::body::store_changes, wire::Createstore_changesDirect(out, value->range, &items, value->at.revision,
                                                                       value->at.era, value->complete, &deltas)
                                           .Union()};
}

encoded_body encode_body(builder& out, const primary_notice& value)
{
    return {wire::body::primary_notice,
            wire::Createprimary_noticeDirect(out, value->service.c_str(), value->member.c_str(), value->term).Union()};
}

encoded_body encode_body(builder& out, const relayed_statement& value)
{
    return {wire::body::relayed_statement, relay_codec::encode(out, value).Union()};
}

encoded_body encode_body(builder& out, const relayed_outcome& value)
{
    return {wire::body::relayed_outcome, relay_codec::encode(out, value).Union()};
}

encoded_body encode_body(builder& out, const relayed_end& value)
{
    return {wire::body::relayed_end, wire::Createrelayed_end(out, value->transaction, value->number).Union()};
}

/// Daemons of releases without this message close the connection on an unknown body, but ignore an end without numbers.
encoded_body encode_body(builder& out, const keepalive&)
{
    return {wire::body::relayed_end, wire::Createrelayed_end(out, 0, 0).Union()};
}

/// Sent as an end without numbers for the same reason as a keepalive.
encoded_body encode_body(builder& out, const leave_notice&)
{
    constexpr bool leaving = true;
    return {wire::body::relayed_end, wire::Createrelayed_end(out, 0, 0, leaving).Union()};
}

encoded_body encode_body(builder& out, const quota_request& value)
{
    std::vector<flatbuffers::Offset<wire::quota_demand>> demands;
    for (const quota_demand& each : value->demands) {
        demands.push_back(wire::Createquota_demandDirect(out, each->tenant.c_str(), each->part, each->waiting,
                                                         each->ahead, each->rate_per_s, each->burst));
    }
    return {wire::body::quota_request,
            wire::Createquota_requestDirect(out, value->number, value->version, &demands).Union()};
}

encoded_body encode_body(builder& out, const quota_grant& value)
{
    std::vector<flatbuffers::Offset<wire::quota_allowance>> allowances;
    for (const quota_allowance& each : value->allowances) {
        const auto retry_after_us = static_cast<std::uint64_t>(std::max(each->retry_after, duration{}).count());
        allowances.push_back(wire::Createquota_allowanceDirect(out, each->tenant.c_str(), each->part, each->held,
                                                               each->granted, retry_after_us));
    }
    return {wire::body::quota_grant, wire::Createquota_grantDirect(out, value->number, &allowances).Union()};
}

std::string text(const flatbuffers::String* source)
{
    return source == nullptr ? std::string{} : source->str();
}

/// Returns nothing if a digest refers to a document part that this version does not know.
std::optional<std::vector<part_digest>> from_wire(const flatbuffers::Vector<const wire::part_digest*>* source)
{
    std::vector<part_digest> list;
    for (flatbuffers::uoffset_t i = 0; source != nullptr && i < source->size(); ++i) {
        const auto* each = source->Get(i);
        if (each->part() >= part_count) {
            return std::nullopt;
        }
        list.push_back(part_digest{
            {.part = static_cast<document_part_id>(each->part()), .revision = each->revision(), .hash = each->hash()}});
    }
    return list;
}

std::optional<peer_message> read_digest(const wire::digest& source)
{
    auto parts = from_wire(source.parts());
    if (!parts) {
        return std::nullopt;
    }
    peer_digest_fields fields{.document = source.document(), .parts = std::move(*parts), .views = {}};
    for (flatbuffers::uoffset_t i = 0; source.views() != nullptr && i < source.views()->size(); ++i) {
        const auto* each = source.views()->Get(i);
        fields.views.push_back(
            daemon_view{{.daemon = each->daemon(), .document = each->document(), .beat = each->beat()}});
    }
    return peer_digest{std::move(fields)};
}

std::optional<peer_message> read_update(const wire::section_update& source)
{
    auto digests = from_wire(source.digests());
    if (!digests) {
        return std::nullopt;
    }
    section_update_fields fields{
        .base = source.base(), .document = source.document(), .digests = std::move(*digests), .parts = {}};
    for (flatbuffers::uoffset_t i = 0; source.parts() != nullptr && i < source.parts()->size(); ++i) {
        const auto* each = source.parts()->Get(i);
        if (each->part() >= part_count) {
            return std::nullopt;
        }
        fields.parts.push_back(document_part{{.part = static_cast<document_part_id>(each->part()),
                                              .revision = each->revision(),
                                              .text = text(each->text())}});
    }
    return section_update{std::move(fields)};
}

peer_message read_store_digest(const wire::store_digest& source)
{
    store_digest_fields fields{.store_live = source.store_live(),
                               .current_age = read_age(source.current_age_ms()),
                               .store_failure_age = read_age(source.store_failure_age_ms())};
    // Earlier releases send no eras, or neither completeness nor contents.
    const auto entry = [](const flatbuffers::Vector<std::uint64_t>* list, flatbuffers::uoffset_t at) {
        return list != nullptr && at < list->size() ? std::optional(list->Get(at)) : std::nullopt;
    };
    for (flatbuffers::uoffset_t i = 0; const auto changed_at = entry(source.changed_at(), i); ++i) {
        const store_era era = entry(source.eras(), i).value_or(0);
        fields.ranges.push_back(
            range_digest{{.changed_at = {.era = era, .revision = *changed_at},
                          .complete_to = {.era = era, .revision = entry(source.complete_to(), i).value_or(0)},
                          .contents = entry(source.contents(), i)}});
    }
    return store_digest{std::move(fields)};
}

std::string bytes_of(const flatbuffers::Vector<std::uint8_t>* source)
{
    return source == nullptr ? std::string{} : std::string(source->begin(), source->end());
}

peer_message read_store_request(const wire::store_request& source)
{
    store_request_fields fields{.range = source.range(),
                                .after = {.era = source.era(), .revision = source.after()},
                                .accepts_deltas = source.accepts_deltas()};
    for (flatbuffers::uoffset_t i = 0; source.known_values() != nullptr && i < source.known_values()->size(); ++i) {
        const auto* each = source.known_values()->Get(i);
        fields.known_values.push_back(known_value{{.key = text(each->key()), .revision = each->revision()}});
    }
    return store_request{std::move(fields)};
}

peer_message read_store_changes(const wire::store_changes& source)
{
    store_changes_fields fields{.range = source.range(),
                                .at = {.era = source.era(), .revision = source.revision()},
                                .complete = source.complete()};
    for (flatbuffers::uoffset_t i = 0; source.items() != nullptr && i < source.items()->size(); ++i) {
        const auto* each = source.items()->Get(i);
        store_item_fields item{
            .key = text(each->key()), .revision = each->revision(), .lease = each->lease(), .deleted = each->deleted()};
        item.value = bytes_of(each->value());
        fields.items.push_back(store_item{std::move(item)});
    }
    for (flatbuffers::uoffset_t i = 0; source.deltas() != nullptr && i < source.deltas()->size(); ++i) {
        const auto* each = source.deltas()->Get(i);
        fields.deltas.push_back(item_delta{{.key = text(each->key()),
                                            .revision = each->revision(),
                                            .lease = each->lease(),
                                            .base_revision = each->base_revision(),
                                            .delta = bytes_of(each->delta())}});
    }
    return store_changes{std::move(fields)};
}

peer_message read_hello(const wire::hello& source)
{
    return peer_hello{{.daemon = text(source.daemon()),
                       .region = text(source.region()),
                       .data_center = text(source.data_center()),
                       .incarnation = source.incarnation(),
                       .receive_timeout = std::chrono::milliseconds(source.receive_timeout_ms()),
                       .accepts_pieces = source.accepts_pieces()}};
}

peer_message read_quota_request(const wire::quota_request& source)
{
    quota_request_fields fields{.number = source.number(), .version = source.version()};
    for (flatbuffers::uoffset_t i = 0; source.demands() != nullptr && i < source.demands()->size(); ++i) {
        const auto* each = source.demands()->Get(i);
        fields.demands.push_back(quota_demand{{.tenant = text(each->tenant()),
                                               .part = each->part(),
                                               .waiting = each->waiting(),
                                               .ahead = each->ahead(),
                                               .rate_per_s = each->rate_per_s(),
                                               .burst = each->burst()}});
    }
    return quota_request{std::move(fields)};
}

peer_message read_quota_grant(const wire::quota_grant& source)
{
    constexpr duration longest_retry = std::chrono::hours(1);
    quota_grant_fields fields{.number = source.number()};
    for (flatbuffers::uoffset_t i = 0; source.allowances() != nullptr && i < source.allowances()->size(); ++i) {
        const auto* each = source.allowances()->Get(i);
        const auto retry_after_us = std::min(each->retry_after_us(), static_cast<std::uint64_t>(longest_retry.count()));
        fields.allowances.push_back(
            quota_allowance{{.tenant = text(each->tenant()),
                             .part = each->part(),
                             .held = each->held(),
                             .granted = each->granted(),
                             .retry_after = duration(static_cast<duration::rep>(retry_after_us))}});
    }
    return quota_grant{std::move(fields)};
}

std::optional<peer_message> read_body(const wire::peer_message& source)
{
    switch (source.body_type()) {
    case wire::body::hello:
        return read_hello(*source.body_as_hello());
    case wire::body::digest:
        return read_digest(*source.body_as_digest());
    case wire::body::section_update:
        return read_update(*source.body_as_section_update());
    case wire::body::suspicion_query: {
        const auto* query = source.body_as_suspicion_query();
        return suspicion_query{{.number = query->number(),
                                .group = text(query->group()),
                                .member = text(query->member()),
                                .term = query->term()}};
    }
    case wire::body::suspicion_reply: {
        const auto* reply = source.body_as_suspicion_reply();
        return suspicion_reply{{.number = reply->number(), .suspects = reply->suspects(), .term = reply->term()}};
    }
    case wire::body::share_request: {
        const auto* request = source.body_as_share_request();
        return share_request{
            {.member = member_key{{.group = text(request->group()), .member = text(request->member())}},
             .wanted = request->wanted(),
             .held = request->held()}};
    }
    case wire::body::share_grant: {
        const auto* grant = source.body_as_share_grant();
        return share_grant{{.number = grant->number(),
                            .member = member_key{{.group = text(grant->group()), .member = text(grant->member())}},
                            .connections = grant->connections()}};
    }
    case wire::body::share_ack: {
        const auto* ack = source.body_as_share_ack();
        return share_ack{{.number = ack->number(), .accepted = ack->accepted()}};
    }
    case wire::body::store_digest:
        return read_store_digest(*source.body_as_store_digest());
    case wire::body::store_request:
        return read_store_request(*source.body_as_store_request());
    case wire::body::store_changes:
        return read_store_changes(*source.body_as_store_changes());
    case wire::body::primary_notice: {
        const auto* notice = source.body_as_primary_notice();
        return primary_notice{
            {.service = text(notice->service()), .member = text(notice->member()), .term = notice->term()}};
    }
    case wire::body::relayed_statement:
        return relay_codec::read(*source.body_as_relayed_statement());
    case wire::body::relayed_outcome:
        return relay_codec::read(*source.body_as_relayed_outcome());
    case wire::body::relayed_end: {
        const auto* end = source.body_as_relayed_end();
        if (end->leaving()) {
            return leave_notice{};
        }
        if (end->transaction() == 0 && end->number() == 0) {
            return keepalive{};
        }
        return relayed_end{{.transaction = end->transaction(), .number = end->number()}};
    }
    case wire::body::quota_request:
        return read_quota_request(*source.body_as_quota_request());
    case wire::body::quota_grant:
        return read_quota_grant(*source.body_as_quota_grant());
    case wire::body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string peer_codec::encode(const peer_message& message)
{
    builder out;
    const auto body = std::visit([&out](const auto& each) { return encode_body(out, each); }, message);
    out.Finish(wire::Createpeer_message(out, body.type, body.offset));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

result<peer_message> peer_codec::decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::Verifypeer_messageBuffer(verifier)) {
        return error{{.kind = error_kind::bad_request, .detail = "the peer frame is not a valid message"}};
    }
    const auto* root = wire::Getpeer_message(data);
    auto message = root->body() == nullptr ? std::nullopt : read_body(*root);
    if (!message) {
        return error{{.kind = error_kind::bad_request, .detail = "the peer frame contains no known message type"}};
    }
    return *std::move(message);
}

} // namespace citronfall
