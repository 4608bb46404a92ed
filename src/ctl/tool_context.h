#pragma once

#include "citronfall/instant.h"
#include "citronfall/platform_hooks.h"
#include "citronfall/result.h"
#include "config_check/configuration_document.h"
#include "http/http_reply.h"
#include "http/http_request.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Exit codes of the operators' tool; docs/operators.md lists them.
enum class exit_code { success = 0, failed = 1, usage = 2, refused = 3, conflict = 4, unknown = 5 };

/// Parsed command line.
struct tool_arguments {
    std::vector<std::string> words; ///< The command and its arguments.
    std::string daemon;             ///< "ip:port"
    std::string platform;           ///< "ip:port"; empty: none.
    std::string key;                ///< Of the operators' interface.
    std::string author;
    std::string team;
    std::string reason;
    bool json = false;  ///< Output for scripts.
    bool adopt = false; ///< Accepts a current value that was set without a recorded change.
    bool wait = false;  ///< Reports the rollout of the change until it is in force everywhere.
    std::string section;
    std::string path;
    std::string value;
    std::int64_t for_minutes = 0; ///< Length of an override; 0: until it is cleared.
    std::string tenant;
    std::string class_name;
    std::string group;
    std::string kind;
    std::string id;
    std::string session;
    std::string against; ///< File, or "in-force": what check-config compares with; empty: nothing.
};

/// Environment of the operators' tool; tests replace it.
struct tool_context {
    std::function<result<http_reply>(const http_request&)> call_daemon;
    platform_hooks platform; ///< The hooks are empty if no platform is given.
    std::function<std::optional<std::string>(const std::string&)> read_file;
    std::function<std::int64_t()> wall_ms; ///< Unix time in ms.
    std::function<std::string()> nonce;    ///< A new unique text.
    std::function<void(duration)> pause;
    std::function<configuration_document(const std::string&)> read_configuration; ///< In the operators' format.
    std::ostream& out;
    std::ostream& err;
};

/// Prints a failure and returns its exit code.
[[nodiscard]] exit_code report_failure(const tool_context& context, const error& problem);

} // namespace citronfall
