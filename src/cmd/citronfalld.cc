#include "citronfall/daemon_settings.h"
#include "daemon/daemon.h"
#include "platform/platform.h"
#include "settings/daemon_settings_reader.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

#include <malloc.h>
#include <pthread.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

struct command_line {
    std::string settings_file; ///< Empty if the platform provides the path.
    bool check_only = false;
    bool on_platform = false;
};

std::optional<command_line> parse(int argc, char** argv)
{
    TCLAP::CmdLine parser("citronfalld: database proxy with session consistency", ' ', "0.1");
    parser.setExceptionHandling(false);
    TCLAP::SwitchArg check("", "check", "check the settings file and exit", parser);
    TCLAP::SwitchArg platform("", "platform", "run on the users' platform, which provides the settings file", parser);
    TCLAP::UnlabeledValueArg<std::string> file("file", "settings file (JSON)", false, "", "FILE", parser);
    try {
        parser.parse(argc, argv);
    } catch (const TCLAP::ArgException& problem) {
        std::cerr << "citronfalld: " << problem.error() << " " << problem.argId() << '\n';
        return std::nullopt;
    }
    if (file.getValue().empty() && !platform.getValue()) {
        std::cerr << "citronfalld: a settings file or --platform is required\n";
        return std::nullopt;
    }
    return command_line{
        .settings_file = file.getValue(), .check_only = check.getValue(), .on_platform = platform.getValue()};
}

std::optional<citronfall::daemon_settings> read_settings(const std::string& name)
{
    std::ifstream file(name);
    if (!file) {
        std::cerr << "citronfalld: cannot read " << name << '\n';
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto read = citronfall::daemon_settings_reader::read(text.str());
    if (const auto* problems = std::get_if<std::vector<citronfall::json_problem>>(&read)) {
        std::cerr << "citronfalld: " << name << ": " << problems->front().text() << '\n';
        return std::nullopt;
    }
    return std::get<citronfall::daemon_settings>(std::move(read));
}

sigset_t termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t handled_signals()
{
    sigset_t signals = termination_signals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Unblocks the signals that nothing waits for: all during a check, and SIGHUP outside the users' platform.
void unblock_unhandled_signals(const command_line& arguments)
{
    sigset_t signals;
    sigemptyset(&signals);
    if (arguments.check_only) {
        signals = handled_signals();
    } else if (!arguments.on_platform) {
        sigaddset(&signals, SIGHUP);
    }
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

/// Drains the daemon on the first signal and exits on the second.
void wait_for_signals(citronfall::daemon& running)
{
    const sigset_t signals = termination_signals();
    int received = 0;
    sigwait(&signals, &received);
    running.drain();
    sigwait(&signals, &received);
    _exit(exit_failed);
}

/// Drains the daemon on a termination signal and reloads its settings on SIGHUP.
void handle_signals(citronfall::gateway& running)
{
    const sigset_t signals = handled_signals();
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received == SIGHUP) {
            running.reload();
        } else {
            running.terminate();
        }
    }
}

void configure_log()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

/// Long values get mappings of their own, which are given back to the system as soon as they are freed. By default the
/// limit for that rises with the values that were freed.
void configure_memory()
{
    constexpr int min_mapped_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, min_mapped_bytes);
    mallopt(M_TRIM_THRESHOLD, 2 * min_mapped_bytes);
}

int run_gateway(const command_line& arguments)
{
    auto path = arguments.settings_file.empty() ? citronfall::platform::settings_path()
                                                : citronfall::result<std::string>(arguments.settings_file);
    if (!citronfall::ok(path)) {
        std::cerr << "citronfalld: " << citronfall::error_of(path)->detail << '\n';
        return exit_bad_settings;
    }
    const auto settings = citronfall::platform::read_settings(citronfall::value_of(path));
    if (!citronfall::ok(settings)) {
        std::cerr << "citronfalld: " << citronfall::error_of(settings)->detail << '\n';
        return exit_bad_settings;
    }
    if (arguments.check_only) {
        std::cout << citronfall::value_of(path) << ": settings are valid\n";
        return 0;
    }
    configure_memory();
    configure_log();
    auto made = citronfall::gateway::make(citronfall::value_of(settings),
                                          citronfall::platform::make_platform_adapter(citronfall::value_of(path)));
    if (!citronfall::ok(made)) {
        std::cerr << "citronfalld: " << citronfall::error_of(made)->detail << '\n';
        return exit_failed;
    }
    const auto running = citronfall::take(std::move(made));
    std::thread(handle_signals, std::ref(*running)).detach();
    running->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // A signal that arrives before its handler waits stays pending.
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        const auto arguments = parse(argc, argv);
        if (!arguments) {
            return exit_bad_settings;
        }
        unblock_unhandled_signals(*arguments);
        if (arguments->on_platform) {
            return run_gateway(*arguments);
        }
        const auto settings = read_settings(arguments->settings_file);
        if (!settings) {
            return exit_bad_settings;
        }
        if (arguments->check_only) {
            std::cout << arguments->settings_file << ": settings are valid\n";
            return 0;
        }
        configure_log();
        auto made = citronfall::daemon::make(*settings);
        if (!citronfall::ok(made)) {
            std::cerr << "citronfalld: " << citronfall::error_of(made)->detail << '\n';
            return exit_failed;
        }
        const auto running = citronfall::take(std::move(made));
        std::thread(wait_for_signals, std::ref(*running)).detach();
        running->run();
        return 0;
    } catch (const TCLAP::ExitException& ended) {
        return ended.getExitStatus();
    } catch (const std::exception& problem) {
        std::cerr << "citronfalld: " << problem.what() << '\n';
        return exit_failed;
    }
}
