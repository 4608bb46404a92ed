// Configurations in quick succession on machines with narrow links: see review/8/claim.txt.

#include "caller.h"
#include "database_service.h"
#include "deployment.h"
#include "http_server.h"
#include "kv_store.h"
#include "record.h"

#include <iostream>
#include <set>

namespace review {
namespace {

constexpr double link_mbps = 10;          ///< Of the small machines of the site.
constexpr int routes_at_start = 19;       ///< Besides those that the storm drops.
constexpr int routes_by_growth = 1400;    ///< big_config: count = 1400.
constexpr int growths = 3;                ///< The configuration stays below ValueBytes.
constexpr milliseconds growth_gap{5'000}; ///< Longer than each takes to be in force.
constexpr int storm_changes = 9;          ///< config_storm: a change each 0.33 s for 4 s at most.
constexpr milliseconds storm_gap{330};
constexpr milliseconds calm_gap{3'000}; ///< Without the disruption.
constexpr milliseconds apply_bound{5'000};
constexpr milliseconds judged_time{6'000}; ///< For which requests are judged after the bound.
constexpr milliseconds request_gap{250};
constexpr milliseconds start_limit{20'000};

class config_storm_case {
public:
    config_storm_case(std::string program, std::string folder, const std::string& record_file)
        : program_(std::move(program)), folder_(std::move(folder)), record_(record_file),
          promotion_server_(loop_, [](const auto&, const auto& answer) { answer({.status = 200, .body = "{}"}); }),
          database_(loop_, record_, options())
    {
    }

    int run()
    {
        for (int i = 0; i < routes_at_start; ++i) {
            hosts_.insert("base" + std::to_string(i));
        }
        for (int i = 1; i <= storm_changes; ++i) {
            hosts_.insert("dropped" + std::to_string(i));
        }
        put(next_configuration());
        database_.enter(store_);
        start_daemons();
        wait_until_served();
        loop_.after(start_limit, [this] {
            if (!served_) {
                end(verdict::not_run, "no request was served in time");
            }
        });
        loop_.run();
        return static_cast<int>(verdict_);
    }

private:
    database_options options()
    {
        return {.name = "huvo11a",
                .members = {"i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"},
                .zones = {"ahmedabad", "vadodara", "rajkot"},
                .max_connections = 46,
                .ran = [this](const std::string& member, const std::string& id, const std::string&) {
                    record_.add("member " + member + " runs " + id);
                    run_ids_.insert(id);
                }};
    }

    void start_daemons()
    {
        std::vector<daemon_options> daemons;
        for (const char* zone : {"ahmedabad", "vadodara", "rajkot"}) {
            constexpr double bytes_per_ms = link_mbps * 1000 / 8;
            store_servers_.push_back(std::make_unique<http_server>(
                loop_, [this](const auto& request, const auto& answer) { store_.handle(request, answer); },
                std::make_shared<link_rate>(link_rate{.bytes_per_ms = bytes_per_ms})));
            daemons.push_back({.program = program_,
                               .folder = folder_,
                               .name = std::string("frontend-") + zone + "-1",
                               .zone = zone,
                               .store_address = store_servers_.back()->address(),
                               .promotion_address = promotion_server_.address(),
                               .drain_ms = 10000,
                               .apply_ms = static_cast<std::uint32_t>(apply_bound.count()),
                               .link_mbps = link_mbps});
        }
        deployment_.start(daemons);
    }

    /// The next version of the configuration in full.
    std::string next_configuration()
    {
        nlohmann::json routes = nlohmann::json::array();
        for (const std::string& host : hosts_) {
            routes.push_back({{"Name", "r-" + host},
                              {"Host", host},
                              {"PathPrefix", "/"},
                              {"Type", "read_your_writes"},
                              {"TimeoutMs", 800},
                              {"TargetLatencyMs", 250},
                              {"Priority", 2},
                              {"Service", "huvo11a"},
                              {"Attempts", 2},
                              {"MaxStalenessMs", 2500}});
        }
        const nlohmann::json service{
            {"Name", "huvo11a"}, {"HealthCheckPath", "/health"}, {"MaxConns", 46}, {"SyncReplicas", 0}};
        version_ += 3;
        return nlohmann::json{
            {"Version", version_}, {"Routes", routes}, {"Services", {service}}, {"Limits", {{"TxIdleMs", 3000}}}}
            .dump();
    }

    /// The operator writes a version; the store's answer is the acknowledgement.
    void put(const std::string& text)
    {
        store_.put("op/config", text);
        record_.add("version acknowledged, " + std::to_string(text.size()) + " bytes: " + text.substr(0, 60));
    }

    void wait_until_served()
    {
        request(0, "base0", [this](const std::string& code) {
            served_ = served_ || code == "COMPLETE";
            served_ ? loop_.after(growth_gap, [this] { grow(growths); })
                    : loop_.after(milliseconds(200), [this] { wait_until_served(); });
        });
    }

    void grow(int left)
    {
        if (left == 0) {
            prepare_storm();
            change(0);
            return;
        }
        for (int i = 0; i < routes_by_growth; ++i) {
            hosts_.insert("grown" + std::to_string(left) + "x" + std::to_string(i));
        }
        put(next_configuration());
        loop_.after(growth_gap, [this, left] { grow(left - 1); });
    }

    /// Writes the texts of the storm beforehand, so that the gaps are as told. Each version adds a route and drops one.
    void prepare_storm()
    {
        for (int i = 1; i <= storm_changes; ++i) {
            hosts_.insert("added" + std::to_string(i));
            hosts_.erase("dropped" + std::to_string(i));
            storm_.push_back(next_configuration());
        }
    }

    void change(std::size_t number)
    {
        put(storm_[number]);
        if (number + 1 < storm_.size()) {
            loop_.after(with_trouble() ? storm_gap : calm_gap, [this, number] { change(number + 1); });
            return;
        }
        loop_.after(apply_bound, [this] { judge_requests(event_loop::now() + judged_time); });
    }

    /// CONFIG: after the bound, requests are handled as the last version says.
    void judge_requests(steady_time until)
    {
        if (event_loop::now() > until) {
            judge();
            return;
        }
        const std::string last = std::to_string(storm_changes);
        for (std::size_t i = 0; i < deployment_.all().size(); ++i) {
            request(i, "added" + last, [this](const std::string& code) {
                ++judged_;
                refused_ += code == "NODB" ? 1 : 0;
            });
            request(i, "dropped" + last, [this](const std::string& code) {
                ++judged_;
                run_with_dropped_ += code == "COMPLETE" ? 1 : 0;
            });
        }
        loop_.after(request_gap, [this, until] { judge_requests(until); });
    }

    /// Starts a session with a daemon and reads once.
    void request(std::size_t daemon, const std::string& host, const std::function<void(const std::string&)>& done)
    {
        const auto session = std::make_shared<caller>(loop_);
        const std::string id = "q" + std::to_string(++last_id_);
        const auto& target = *deployment_.all().at(daemon);
        record_.add("sent " + id + " to " + target.name() + " for " + host);
        session->start(target.frontend(), host, [this, session, id, done](const caller_answer& started) {
            if (!started.complete || !started.error_code.empty()) {
                finish(session, id, started, done);
                return;
            }
            session->query(id, "READ 1a4", [this, session, id, done](const caller_answer& answer) {
                finish(session, id, answer, done);
            });
        });
    }

    void finish(const std::shared_ptr<caller>& session, const std::string& id, const caller_answer& answer,
                const std::function<void(const std::string&)>& done)
    {
        const std::string code = !answer.error_code.empty() ? answer.error_code
                                 : answer.complete          ? "COMPLETE"
                                                            : "connection ended";
        record_.add("answered " + id + " " + code);
        loop_.after(milliseconds(1), [session] { session->close(); });
        done(code);
    }

    void judge()
    {
        const std::string seen = std::to_string(refused_) + " requests refused though the route is there and " +
                                 std::to_string(run_with_dropped_) + " run with a dropped route, of " +
                                 std::to_string(judged_) + " sent later than " + std::to_string(apply_bound.count()) +
                                 " ms after the acknowledgement; longest answer to a watch " +
                                 std::to_string(store_.longest_watch_answer()) + " bytes";
        if (!deployment_.running()) {
            end(verdict::not_run, "a daemon has ended");
        } else {
            end(refused_ + run_with_dropped_ > 0 ? verdict::broken : verdict::held, seen);
        }
    }

    void end(verdict outcome, const std::string& why)
    {
        verdict_ = outcome;
        record_.add("verdict " + std::to_string(static_cast<int>(outcome)) + ": " + why);
        std::cout << why << '\n';
        loop_.stop();
    }

    std::string program_;
    std::string folder_;
    event_loop loop_;
    record record_;
    kv_store store_{loop_};
    std::vector<std::unique_ptr<http_server>> store_servers_;
    http_server promotion_server_;
    database_service database_;
    deployment deployment_;
    std::set<std::string> hosts_;
    std::set<std::string> run_ids_;
    std::vector<std::string> storm_; ///< Versions that are still to be written, in full.
    std::uint64_t version_ = 4;
    std::uint64_t last_id_ = 0;
    bool served_ = false;
    unsigned judged_ = 0;
    unsigned refused_ = 0;
    unsigned run_with_dropped_ = 0;
    verdict verdict_ = verdict::not_run;
};

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: config_storm PROGRAM FOLDER RECORD\n";
        return static_cast<int>(review::verdict::not_run);
    }
    return review::config_storm_case(argv[1], argv[2], argv[3]).run();
}
