#include "mirror/item_delta_cache.h"

#include "delta/value_delta.h"

#include <string_view>

namespace citronfall {

item_delta item_delta_cache::encode(const mirror_table& table, const store_item& item, kv_revision known)
{
    const std::string* base = known == 0 ? nullptr : table.value_at(item->key, known);
    const store_revision revision{.era = table.era(), .revision = item->revision};
    const versions wanted{revision, base == nullptr ? 0 : known};
    auto& deltas = deltas_[item->key];
    std::erase_if(deltas, [&revision](const auto& each) { return each.first.first != revision; });
    if (const auto found = deltas.find(wanted); found != deltas.end()) {
        return found->second;
    }
    const std::string_view base_text = base == nullptr ? std::string_view{} : std::string_view(*base);
    return deltas
        .emplace(wanted, item_delta{{.key = item->key,
                                     .revision = item->revision,
                                     .lease = item->lease,
                                     .base_revision = wanted.second,
                                     .delta = make_value_delta(base_text, item->value)}})
        .first->second;
}

} // namespace citronfall
