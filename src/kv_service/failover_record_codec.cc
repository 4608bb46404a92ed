#include "kv_service/failover_record_codec.h"

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

constexpr std::size_t key_count = 5;

error decode_error(const std::string& why)
{
    return error{{.kind = error_kind::bad_request, .detail = "group record: " + why}};
}

} // namespace

std::string failover_record_codec::encode(const failover_record& record)
{
    return json{{"group", record->group},
                {"term", record->term},
                {"leader", record->leader},
                {"nonce", record->nonce},
                {"primary", record->primary}}
        .dump();
}

result<failover_record> failover_record_codec::decode(const std::string& text)
{
    try {
        const json source = json::parse(text);
        // A negative number would silently become a huge term, which no daemon could ever exceed.
        if (!source.at("term").is_number_unsigned() || !source.at("nonce").is_number_unsigned()) {
            return decode_error("term and nonce must be non-negative integers");
        }
        if (source.size() != key_count) {
            return decode_error("unknown key");
        }
        return failover_record{{.group = source.at("group"),
                                .term = source.at("term"),
                                .leader = source.at("leader"),
                                .nonce = source.at("nonce"),
                                .primary = source.at("primary")}};
    } catch (const json::exception& problem) {
        return decode_error(problem.what());
    }
}

} // namespace citronfall
