#pragma once

#include "daemon_process.h"
#include "event_loop.h"

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// Exit codes of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

/// Whether the disruption takes place; the same run without it has to pass.
inline bool with_trouble()
{
    const char* const set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

/// The daemons of a small deployment, one in each zone.
class deployment {
public:
    using daemons = std::vector<std::unique_ptr<daemon_process>>;

    /// Starts one daemon for each entry of `options`.
    void start(const std::vector<daemon_options>& options)
    {
        std::vector<std::string> seeds;
        for (const daemon_options& each : options) {
            daemons_.push_back(std::make_unique<daemon_process>(each));
            seeds.push_back(daemons_.back()->admin_address());
        }
        for (const auto& each : daemons_) {
            each->start(seeds);
        }
    }

    /// Kills all processes at the same moment.
    void kill_all()
    {
        for (const auto& each : daemons_) {
            each->kill();
        }
    }

    /// Starts all processes again.
    void restart_all()
    {
        for (const auto& each : daemons_) {
            each->restart();
        }
    }

    [[nodiscard]] bool running() const
    {
        for (const auto& each : daemons_) {
            if (!each->running()) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] const daemons& all() const { return daemons_; }

private:
    daemons daemons_;
};

} // namespace review
