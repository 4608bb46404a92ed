#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace citronfall {

/// One log file of a daemon.
struct log_file {
    std::string name;
    std::string text;
};

/// What the logs say about one request.
struct log_explanation {
    std::vector<std::string> lines;   ///< About the request, in the order of the files.
    std::vector<std::string> context; ///< What the daemons believed and lost around it.
    std::string conclusion;           ///< One sentence for each attempt at an answer.
};

/// Finds the lines of a request, the changes of belief around them and what they add up to. Reads lines of the form
/// "TIME LEVEL event=NAME key=value ..."; others are skipped. Thread-safe.
[[nodiscard]] log_explanation explain_request(std::string_view request_id, const std::vector<log_file>& files);

} // namespace citronfall
