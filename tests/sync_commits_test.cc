#include "support/gateway_simulation.h"
#include "support/write_load.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemons = 3;
constexpr duration disturbed_time = 40s;
constexpr duration calm_time = 20s;

/// A service whose commits wait for one replica, under disturbances that come in series and overlap.
class disturbed_service {
public:
    explicit disturbed_service(std::uint64_t seed)
        : random_(seed), simulation_({.daemons = daemons, .sync_replicas = 1, .seed = seed}), load_(simulation_, 6)
    {
    }

    void run()
    {
        load_.run(4s);
        for (const instant end = simulation_.now() + disturbed_time; simulation_.now() < end;) {
            disturb();
            advance(milliseconds(100, 2500));
        }
        advance(12s); // The longest disturbance ends.
        advance(calm_time);
    }

    [[nodiscard]] const write_load& load() const { return load_; }
    [[nodiscard]] instant now() const { return simulation_.now(); }

private:
    struct due_end {
        instant at{};
        std::function<void()> run;
    };

    [[nodiscard]] std::size_t below(std::size_t count) { return random_() % count; }

    [[nodiscard]] duration milliseconds(std::int64_t least, std::int64_t most)
    {
        return std::chrono::milliseconds(least +
                                         static_cast<std::int64_t>(below(static_cast<std::size_t>(most - least))));
    }

    [[nodiscard]] std::string any_member() { return "m" + std::to_string(below(3)); }

    /// The leader, or any member if there is none.
    [[nodiscard]] std::string target()
    {
        const std::string leader = simulation_.leader();
        return leader.empty() || below(4) == 0 ? any_member() : leader;
    }

    void advance(duration length)
    {
        for (const instant end = simulation_.now() + length; simulation_.now() < end;) {
            load_.run(5ms);
            for (std::size_t i = 0; i < ends_.size();) {
                if (ends_[i].at <= simulation_.now()) {
                    const auto run = ends_[i].run;
                    ends_.erase(ends_.begin() + static_cast<std::ptrdiff_t>(i));
                    run();
                } else {
                    ++i;
                }
            }
        }
    }

    void later(duration after, std::function<void()> run)
    {
        ends_.push_back({.at = simulation_.now() + after, .run = std::move(run)});
    }

    void disturb()
    {
        switch (below(9)) {
        case 0: {
            const std::string id = target();
            simulation_.silence_member(id);
            later(milliseconds(300, 7000), [this, id] { simulation_.heal_member(id); });
            return;
        }
        case 1: {
            const std::string id = target();
            simulation_.crash_member(id);
            later(milliseconds(500, 6000), [this, id] { simulation_.restart_member(id); });
            return;
        }
        case 2:
        case 3:
            simulation_.delay_promotions(milliseconds(2000, 12000), below(2) == 0 ? 1 : 0.4);
            later(milliseconds(1000, 5500), [this] { simulation_.delay_promotions(std::nullopt); });
            return;
        case 4: {
            const std::string id = any_member();
            simulation_.delay_orders(id, 1 + below(3), milliseconds(2000, 12000));
            return;
        }
        case 5:
            if (const auto holder = simulation_.lock_holder(); holder && !simulation_.stopped(*holder)) {
                simulation_.restart_daemon(*holder);
            }
            return;
        case 6:
            if (const auto holder = simulation_.lock_holder()) {
                simulation_.freeze(*holder, true);
                later(milliseconds(500, 5000), [this, at = *holder] { simulation_.freeze(at, false); });
            }
            return;
        case 7: {
            const std::size_t daemon = below(daemons);
            simulation_.refuse_store(daemon, true);
            later(milliseconds(500, 5000), [this, daemon] { simulation_.refuse_store(daemon, false); });
            return;
        }
        default: {
            const std::string id = target();
            const std::size_t daemon = below(daemons);
            simulation_.cut_member(daemon, id, true);
            later(milliseconds(500, 4000), [this, daemon, id] { simulation_.cut_member(daemon, id, false); });
            return;
        }
        }
    }

    std::mt19937_64 random_;
    gateway_simulation simulation_;
    write_load load_;
    std::vector<due_end> ends_;
};

void check_seed(std::uint64_t seed)
{
    INFO("seed " << seed);
    disturbed_service service(seed);
    service.run();
    CHECK(service.load().lost().empty());
    CHECK(service.load().acknowledged_since(service.now() - 2s) > 100);
}

} // namespace

TEST_CASE("no acknowledged commit is lost while orders are carried out late", "[sync_commits]")
{
    // Guards against any series of lost answers, losses of members and changes of the lock's holder that promotes a
    // replica without an acknowledged commit, or that leaves the service without writes afterwards.
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        check_seed(seed);
    }
}

TEST_CASE("seeds that once lost acknowledged commits or the service hold", "[sync_commits]")
{
    // 1082, 1581: a replica restarted while the order of a daemon that had ended was open. 1484: a request to resume of
    // an earlier holder was carried out late. 1818: the same of the holder itself. 1353: a rejected token was not
    // raised.
    for (const std::uint64_t seed : {1082U, 1353U, 1484U, 1581U, 1818U}) {
        check_seed(seed);
    }
}

TEST_CASE("no acknowledged commit is lost on many seeds", "[.sync_commits_long]")
{
    // By hand: the same as above on 1,000 seeds.
    for (std::uint64_t seed = 1000; seed < 2000; ++seed) {
        check_seed(seed);
    }
}
