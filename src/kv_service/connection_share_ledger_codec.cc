#include "kv_service/connection_share_ledger_codec.h"

#include <nlohmann/json.hpp>

namespace citronfall {

using json = nlohmann::json;

std::string connection_share_ledger_codec::encode(const connection_share_ledger& ledger)
{
    json holders = json::object();
    for (const auto& [holder, entry] : ledger->entries) {
        holders[holder] = {{"allocated", entry->allocated}, {"dead", entry->dead}, {"settled", entry->settled}};
    }
    return json{{"holders", holders}}.dump();
}

std::optional<connection_share_ledger> connection_share_ledger_codec::decode(const std::string& text)
{
    try {
        const json source = json::parse(text);
        connection_share_ledger_fields fields;
        for (const auto& [holder, entry] : source.at("holders").items()) {
            fields.entries[holder] =
                connection_share_entry{{.allocated = entry.at("allocated").get<std::map<std::string, std::int64_t>>(),
                                        .dead = entry.at("dead").get<bool>(),
                                        .settled = entry.at("settled").get<std::set<std::string>>()}};
        }
        return connection_share_ledger{std::move(fields)};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace citronfall
