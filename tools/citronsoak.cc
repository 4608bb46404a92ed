#include "soak/soak_run.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace {

constexpr int exit_violation = 1;
constexpr int exit_bad_arguments = 2;

struct command_line {
    std::string program;
    std::string folder;
    std::uint64_t seed = 1;
    std::uint64_t count = 1;
    unsigned seconds = 10;
    bool keep = false;                  ///< Keeps the folders of runs without violations.
    citronfall::soak::soak_options run; ///< Sizes and the kind of plan.
};

command_line parse(int argc, char** argv)
{
    TCLAP::CmdLine parser("citronsoak: runs daemons under random faults and checks the guarantees.\n"
                          "Example: citronsoak --program build/citronfalld --seed 1 --count 50",
                          ' ', "0.1");
    TCLAP::ValueArg<std::string> program("", "program", "path of citronfalld", true, "", "FILE", parser);
    TCLAP::ValueArg<std::string> folder("", "folder", "directory of settings and logs", false, "/tmp/citronsoak",
                                        "FOLDER", parser);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed; 0 chooses one at random", false, 0, "NUMBER", parser);
    TCLAP::ValueArg<std::uint64_t> count("", "count", "number of runs", false, 1, "NUMBER", parser);
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "time with faults in each run", false, 10, "SECONDS", parser);
    TCLAP::ValueArg<std::size_t> daemons("", "daemons", "number of daemons", false, 3, "NUMBER", parser);
    TCLAP::ValueArg<std::size_t> members("", "members", "number of members", false, 3, "NUMBER", parser);
    TCLAP::ValueArg<std::size_t> callers("", "callers", "number of callers", false, 12, "NUMBER", parser);
    TCLAP::ValueArg<std::uint32_t> connections("", "connections", "connections that a member accepts", false, 20,
                                               "NUMBER", parser);
    TCLAP::ValueArg<std::uint32_t> sync(
        "", "sync-replicas", "replicas that must have a commit before its acknowledgement", false, 0, "NUMBER", parser);
    TCLAP::SwitchArg late("", "late-orders",
                          "beside the other faults, orders without an answer that are carried out late", parser);
    TCLAP::SwitchArg planned("", "planned-work", "shutdowns, reloads and changes of the configuration only", parser);
    TCLAP::ValueArg<unsigned> signal_age("", "signal-age", "age from which a daemon gets signals; earlier ones wait",
                                         false, 0, "MS", parser);
    TCLAP::SwitchArg keep("", "keep", "keep the folders of runs without violations", parser);
    parser.parse(argc, argv);
    constexpr std::uint64_t seeds = 1'000'000;
    return {.program = program.getValue(),
            .folder = folder.getValue(),
            .seed = seed.getValue() != 0 ? seed.getValue() : 1 + std::random_device{}() % seeds,
            .count = count.getValue(),
            .seconds = seconds.getValue(),
            .keep = keep.getValue(),
            .run = {.daemons = daemons.getValue(),
                    .members = members.getValue(),
                    .callers = callers.getValue(),
                    .max_connections = connections.getValue(),
                    .sync_replicas = sync.getValue(),
                    .plan = planned.getValue() ? citronfall::soak::plan_kind::planned_work
                            : late.getValue()  ? citronfall::soak::plan_kind::late_orders
                                               : citronfall::soak::plan_kind::faults,
                    .signal_age = std::chrono::milliseconds(signal_age.getValue())}};
}

/// Prints the number of statements without a complete answer by verdict, and lists them in a file.
void report_unanswered(const std::vector<citronfall::soak::cut_finding>& findings, const std::string& folder)
{
    std::map<citronfall::soak::cut_verdict, std::size_t> counts;
    std::ofstream list(folder + "/unanswered.log");
    for (const auto& each : findings) {
        ++counts[each.verdict];
        list << each.details << '\n';
    }
    for (const auto& [verdict, count] : counts) {
        std::cout << ' ' << citronfall::soak::cut_verdict_name(verdict) << '=' << count;
    }
    std::cout << std::endl;
}

/// Returns whether no rule was violated. The folder of a run with violations is kept.
bool run_once(const command_line& arguments, std::uint64_t seed)
{
    const std::string folder = arguments.folder + "/seed-" + std::to_string(seed);
    citronfall::soak::soak_options options = arguments.run;
    options.program = arguments.program;
    options.folder = folder;
    options.seed = seed;
    options.length = std::chrono::seconds(arguments.seconds);
    const auto report = citronfall::soak::run_soak(options);
    std::cout << "seed=" << seed << " faults=" << report.faults.size() << " operations=" << report.operations
              << " succeeded=" << report.succeeded << " commits=" << report.commits
              << " promotions=" << report.promotions << " broken=" << report.violations.size();
    report_unanswered(report.unanswered, folder);
    if (report.violations.empty() && !arguments.keep) {
        std::filesystem::remove_all(folder);
        return true;
    }
    for (const std::string& each : report.violations) {
        std::cout << "  " << each << '\n';
    }
    for (const std::string& each : report.faults) {
        std::cout << "  fault " << each << '\n';
    }
    std::cout << "  logs in " << folder << std::endl;
    return report.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const command_line arguments = parse(argc, argv);
        bool no_violation = true;
        for (std::uint64_t i = 0; i < arguments.count; ++i) {
            no_violation = run_once(arguments, arguments.seed + i) && no_violation;
        }
        return no_violation ? 0 : exit_violation;
    } catch (const std::exception& problem) {
        std::cerr << "citronsoak: " << problem.what() << '\n';
        return exit_bad_arguments;
    }
}
