#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace citronfall {

/// Log file of one daemon.
struct log_file {
    std::string name;
    std::string text;
};

/// Trace of one request in the logs.
struct log_explanation {
    std::vector<std::string> lines;   ///< Lines about the request, in the order of the files.
    std::vector<std::string> context; ///< State changes of the daemons shortly before, during and after it.
    std::string conclusion;           ///< One line for each answer, or the reason why there is none.
};

/// Finds the lines of a request and the state changes around them, and draws a conclusion. Reads lines of the form
/// "TIME LEVEL event=NAME key=value ..." and skips others. Thread-safe.
[[nodiscard]] log_explanation explain_request(std::string_view request_id, const std::vector<log_file>& files);

} // namespace citronfall
