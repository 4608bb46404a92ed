// Consumers that set many session values, or prepare many shapes one after the other: see review/7/claim.txt and
// review/10/claim.txt.

#include "caller.h"
#include "database_service.h"
#include "deployment.h"
#include "http_server.h"
#include "kv_store.h"
#include "record.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace review {
namespace {

constexpr std::uint64_t memory_mb = 260;       ///< MemoryMb of each machine.
constexpr std::size_t value_bytes = 1'000'000; ///< A message is at most 1 MiB.
constexpr int statements_by_session = 2'000;   ///< Most SET or PREPARE statements of one session.
constexpr int ends_by_fault = 3;               ///< Ends of a machine's process in a day that count as a fault...
constexpr int machines_by_fault = 2;           ///< ...on a tenth of the machines, two at least.
constexpr milliseconds check_interval{20};
constexpr milliseconds restart_delay{300};
constexpr milliseconds reconnect_gap{100};
constexpr milliseconds read_gap{200};
constexpr milliseconds run_time{90'000};
constexpr milliseconds calm_time{15'000};
constexpr milliseconds start_limit{20'000};

/// Resident memory of a process in MiB; 0 if it has ended.
std::uint64_t resident_mb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            std::uint64_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

/// What the consumers that don't behave send.
enum class habit { values, shapes };

class session_values_case {
public:
    session_values_case(habit sent, std::string program, std::string folder, const std::string& record_file)
        : habit_(sent), program_(std::move(program)), folder_(std::move(folder)), record_(record_file),
          store_server_(loop_, [this](const auto& request, const auto& answer) { store_.handle(request, answer); }),
          promotion_server_(loop_, [](const auto&, const auto& answer) { answer({.status = 200, .body = "{}"}); }),
          database_(loop_, record_,
                    {.name = "huvo11a",
                     .members = {"i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"},
                     .zones = {"ahmedabad", "vadodara", "rajkot"}})
    {
    }

    int run()
    {
        configure();
        std::vector<daemon_options> daemons;
        for (const char* zone : {"ahmedabad", "vadodara", "rajkot"}) {
            daemons.push_back({.program = program_,
                               .folder = folder_,
                               .name = std::string("frontend-") + zone + "-1",
                               .zone = zone,
                               .store_address = store_server_.address(),
                               .promotion_address = promotion_server_.address()});
        }
        deployment_.start(daemons);
        ends_.assign(daemons.size(), 0);
        highest_mb_.assign(daemons.size(), 0);
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            start_reader(i);
        }
        loop_.every(check_interval, [this] { check_memory(); });
        loop_.after(start_limit, [this] {
            if (!started_) {
                end(verdict::not_run, "no request was served in time");
            }
        });
        loop_.run();
        return static_cast<int>(verdict_);
    }

private:
    void configure()
    {
        const nlohmann::json route{
            {"Name", "r-68k7b2e"}, {"Host", "xapu221ny95"},  {"PathPrefix", "/"}, {"Type", "read_your_writes"},
            {"TimeoutMs", 800},    {"TargetLatencyMs", 250}, {"Priority", 2},     {"Service", "huvo11a"},
            {"Attempts", 2},       {"MaxStalenessMs", 2500}};
        const nlohmann::json service{
            {"Name", "huvo11a"}, {"HealthCheckPath", "/health"}, {"MaxConns", 22}, {"SyncReplicas", 0}};
        store_.put("op/config",
                   nlohmann::json{
                       {"Version", 7}, {"Routes", {route}}, {"Services", {service}}, {"Limits", {{"TxIdleMs", 3000}}}}
                       .dump());
        database_.enter(store_);
    }

    /// An ordinary consumer of one daemon: it reads five times a second.
    void start_reader(std::size_t machine)
    {
        const auto session = std::make_shared<caller>(loop_);
        readers_[machine] = session;
        session->start(
            deployment_.all()[machine]->frontend(), "xapu221ny95", [this, machine](const caller_answer& answer) {
                const bool started = answer.complete && answer.error_code.empty();
                loop_.after(read_gap, [this, machine, started] { started ? read(machine) : start_reader(machine); });
            });
    }

    void read(std::size_t machine)
    {
        const std::string id = "r" + std::to_string(++last_id_);
        record_.add("sent " + id + " to " + deployment_.all()[machine]->name() + ": READ");
        readers_[machine]->query(id, "READ 1a4", [this, machine, id](const caller_answer& answer) {
            const bool served = answer.complete && answer.error_code.empty();
            record_.add("answered " + id + " " + (served ? "COMPLETE" : answer.complete ? answer.error_code : "ended"));
            ++reads_;
            served_ += served ? 1 : 0;
            if (served && !started_) {
                started_ = true;
                begin_trouble();
            }
            loop_.after(read_gap, [this, machine, complete = answer.complete] {
                complete ? read(machine) : start_reader(machine);
            });
        });
    }

    void begin_trouble()
    {
        if (with_trouble()) {
            for (std::size_t i = 0; i < deployment_.all().size(); ++i) {
                start_setter(i);
            }
        }
        loop_.after(with_trouble() ? run_time : calm_time, [this] { judge(); });
    }

    /// A consumer that sends one statement after the other and reads each answer.
    void start_setter(std::size_t machine)
    {
        const auto session = std::make_shared<caller>(loop_);
        setters_[machine] = session;
        session->start(deployment_.all()[machine]->frontend(), "xapu221ny95",
                       [this, machine](const caller_answer& answer) {
                           if (answer.complete && answer.error_code.empty()) {
                               set_value(machine, 1);
                           } else {
                               loop_.after(reconnect_gap, [this, machine] { start_setter(machine); });
                           }
                       });
    }

    void set_value(std::size_t machine, int number)
    {
        const std::string data(value_bytes, 'x');
        if (habit_ == habit::values) {
            send(machine, "SET v" + std::to_string(number) + " " + data, number, true);
        } else {
            // The name is the same each time, so that the session holds one prepared statement only.
            send(machine, "PREPARE s1 READ q" + std::to_string(number) + data, number, false);
        }
    }

    /// Sends a statement and, once it is answered, the next one: EXECUTE after a PREPARE.
    void send(std::size_t machine, const std::string& text, int number, bool last)
    {
        const std::string id = "s" + std::to_string(++last_id_);
        record_.add("sent " + id + " to " + deployment_.all()[machine]->name() + ": " + text.substr(0, 24) + ", " +
                    std::to_string(text.size()) + " bytes");
        setters_[machine]->query(id, text, [this, machine, number, id, last](const caller_answer& answer) {
            const bool done = answer.complete && answer.error_code.empty();
            record_.add("answered " + id + " " + (done ? "COMPLETE" : answer.complete ? answer.error_code : "ended"));
            loop_.after(done ? milliseconds(0) : reconnect_gap, [this, machine, number, done, last] {
                if (done && !last) {
                    send(machine, "EXECUTE s1 1a4", number, true);
                } else if (done && number < statements_by_session) {
                    set_value(machine, number + 1);
                } else {
                    start_setter(machine);
                }
            });
        });
    }

    /// The platform kills a process that exceeds MemoryMb and starts it again after a short delay.
    void check_memory()
    {
        for (std::size_t i = 0; i < deployment_.all().size(); ++i) {
            daemon_process& each = *deployment_.all()[i];
            const std::uint64_t held_mb = each.process() == 0 ? 0 : resident_mb(each.process());
            highest_mb_[i] = std::max(highest_mb_[i], held_mb);
            if (held_mb <= memory_mb) {
                continue;
            }
            ++ends_[i];
            record_.add(each.name() + " holds " + std::to_string(held_mb) + " MB, more than MemoryMb: killed, end " +
                        std::to_string(ends_[i]));
            each.kill();
            loop_.after(restart_delay, [&each] { each.restart(); });
        }
        if (std::count_if(ends_.begin(), ends_.end(), [](int each) { return each >= ends_by_fault; }) >=
            machines_by_fault) {
            judge();
        }
    }

    void judge()
    {
        const auto ended = std::count_if(ends_.begin(), ends_.end(), [](int each) { return each >= ends_by_fault; });
        std::string seen = "ends by memory over the limit:";
        for (std::size_t i = 0; i < ends_.size(); ++i) {
            seen += " " + std::to_string(ends_[i]) + " (at most " + std::to_string(highest_mb_[i]) + " MB)";
        }
        seen += "; " + std::to_string(served_) + " of " + std::to_string(reads_) + " ordinary reads served";
        end(ended >= machines_by_fault ? verdict::broken : verdict::held, seen);
    }

    void end(verdict outcome, const std::string& why)
    {
        verdict_ = outcome;
        record_.add("verdict " + std::to_string(static_cast<int>(outcome)) + ": " + why);
        std::cout << why << '\n';
        loop_.stop();
    }

    habit habit_;
    std::string program_;
    std::string folder_;
    event_loop loop_;
    record record_;
    kv_store store_{loop_};
    http_server store_server_;
    http_server promotion_server_;
    database_service database_;
    deployment deployment_;
    std::map<std::size_t, std::shared_ptr<caller>> readers_;
    std::map<std::size_t, std::shared_ptr<caller>> setters_;
    std::vector<int> ends_; ///< By machine.
    std::vector<std::uint64_t> highest_mb_;
    std::uint64_t last_id_ = 0;
    unsigned reads_ = 0;
    unsigned served_ = 0;
    bool started_ = false;
    verdict verdict_ = verdict::not_run;
};

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    const std::string sent = argc == 5 ? argv[1] : "";
    if (sent != "values" && sent != "shapes") {
        std::cerr << "usage: session_values values|shapes PROGRAM FOLDER RECORD\n";
        return static_cast<int>(review::verdict::not_run);
    }
    const auto habit = sent == "values" ? review::habit::values : review::habit::shapes;
    return review::session_values_case(habit, argv[2], argv[3], argv[4]).run();
}
