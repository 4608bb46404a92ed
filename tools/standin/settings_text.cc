#include "standin/settings_text.h"

#include <nlohmann/json.hpp>

namespace citronfall::standin {

std::string settings_text(const gateway_settings& settings)
{
    const auto ms = [](duration value) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    };
    nlohmann::json text{
        {"daemon", {{"name", settings->name}, {"region", settings->region}, {"data_center", settings->data_center}}},
        {"callers", {{"address", settings->callers}}},
        {"probe", {{"address", settings->probe}, {"path", settings->probe_path}}},
        {"store", {{"address", settings->store}}},
        {"duties", {{"address", settings->promotion_address}, {"fences_enforced", settings->fences_enforced}}},
        {"bounds",
         {{"drain_ms", ms(settings->drain_bound)},
          {"grace_s", ms(settings->grace) / 1000},
          {"apply_ms", ms(settings->config_apply_bound)}}},
        {"limits", {{"descriptors", settings->max_descriptors}, {"memory_mb", settings->memory_mb}}}};
    if (!settings->metrics.empty()) {
        text["metrics"] = {{"address", settings->metrics}};
    }
    if (!settings->peer_listen.empty()) {
        text["peer"] = {{"address", settings->peer_listen}, {"seeds", settings->peers}};
    }
    return text.dump(2);
}

} // namespace citronfall::standin
