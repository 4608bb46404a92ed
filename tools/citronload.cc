// Open-loop load client for daemons, or one stand-in member, on loopback.

#include "load/load_client.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

/// Upper bound on the length of a run, so that a forgotten load client ends.
constexpr int max_seconds = 120;

/// Parses "tenant/class/part/statement".
citronfall::load::load_client_class read_class(const std::string& text)
{
    std::istringstream source(text);
    citronfall::load::load_client_class kind;
    std::string share;
    std::getline(source, kind.tenant, '/');
    std::getline(source, kind.name, '/');
    std::getline(source, share, '/');
    std::getline(source, kind.statement);
    kind.share = share.empty() ? 1 : std::stod(share);
    return kind;
}

double milliseconds(citronfall::duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine parser("citronload: open-loop load on loopback", ' ', "0.1");
    TCLAP::MultiArg<std::string> targets("", "target", "daemon, or member with --direct", true, "ip:port", parser);
    TCLAP::SwitchArg direct("", "direct", "speak the database protocol to a member", parser);
    TCLAP::ValueArg<std::string> group("", "group", "database group", false, "ledger-1", "name", parser);
    TCLAP::MultiArg<std::string> classes("", "class", "class of requests", true, "tenant/class/part/statement", parser);
    TCLAP::ValueArg<unsigned> seed("", "seed", "seed of the arrival times", false, 1, "number", parser);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second", false, 100, "number", parser);
    TCLAP::ValueArg<double> factor("", "factor", "multiple of the rate during the peak", false, 1, "number", parser);
    TCLAP::ValueArg<double> from("", "swing-from", "start of the peak", false, 2, "seconds", parser);
    TCLAP::ValueArg<double> rise("", "swing-rise", "rise time", false, 2, "seconds", parser);
    TCLAP::ValueArg<double> until("", "swing-until", "end of the peak", false, 8, "seconds", parser);
    TCLAP::ValueArg<int> length("", "seconds", "length of the run", false, 5, "seconds", parser);
    TCLAP::ValueArg<int> deadline("", "deadline-ms", "deadline of each request", false, 2000, "ms", parser);
    TCLAP::ValueArg<unsigned> connections("", "connections", "client connections", false, 256, "count", parser);
    parser.parse(argc, argv);

    using namespace citronfall;
    const auto seconds = [](double value) {
        return duration(static_cast<duration::rep>(value * 1e6));
    };
    load::load_client_options options{.targets = targets.getValue(),
                                      .direct = direct.getValue(),
                                      .group = group.getValue(),
                                      .classes = {},
                                      .seed = seed.getValue(),
                                      .rate = rate.getValue(),
                                      .factor = factor.getValue(),
                                      .peak_from = seconds(from.getValue()),
                                      .peak_rise = seconds(rise.getValue()),
                                      .peak_until = seconds(until.getValue()),
                                      .length = std::chrono::seconds(std::min(length.getValue(), max_seconds)),
                                      .deadline = std::chrono::milliseconds(deadline.getValue()),
                                      .connections = connections.getValue()};
    for (const std::string& text : classes.getValue()) {
        options.classes.push_back(read_class(text));
    }
    const auto results = load::run_load_client(options);
    if (!ok(results)) {
        std::cerr << "citronload: " << error_of(results)->detail << '\n';
        return 1;
    }
    std::printf("seed %u\n%-16s %8s %8s %8s %8s %9s %9s %9s\n", seed.getValue(), "class", "sent", "done", "refused",
                "other", "p50 ms", "p99 ms", "max ms");
    for (const auto& [name, result] : value_of(results)) {
        std::printf("%-16s %8lu %8lu %8lu %8lu %9.2f %9.2f %9.2f\n", name.c_str(), result.sent, result.done,
                    result.refused, result.other, milliseconds(result.latency.quantile(0.5)),
                    milliseconds(result.latency.quantile(0.99)), milliseconds(result.latency.max()));
    }
    return 0;
}
