#pragma once

#include "json/json_problem.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace citronfall {

/// Allowed range and default of an integer. Without a default the key is required.
struct integer_rule {
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
    std::optional<std::int64_t> fallback{};
};

/// Allowed range and default of a number. Without a default the key is required.
struct number_rule {
    double min = 0;
    double max = std::numeric_limits<double>::max();
    std::optional<double> fallback{};
};

/// Allowed values and default of a string. Without a default the key is required.
struct text_rule {
    std::vector<std::string> choices{}; ///< Empty: any.
    bool address = false;               ///< Must be "ip:port" with a numeric IP address.
    std::optional<std::string> fallback{};
};

/// Reads the keys of one JSON object and reports each one that is unknown, missing, of the wrong type or out of range.
///
/// After reporting a problem, a read method returns the default or an empty value, so that one pass finds all problems.
/// Not thread-safe.
class json_object_reader {
public:
    /// Preconditions: `source` and `problems` outlive this object. `path` is empty for the root.
    json_object_reader(const nlohmann::json& source, std::string path, std::vector<json_problem>& problems);

    /// Reports every key that was not read.
    void report_unread_keys() const;

    /// Whether the key is present. Marks it as read.
    [[nodiscard]] bool has(const std::string& key);

    /// Reads an integer.
    [[nodiscard]] std::int64_t integer(const std::string& key, const integer_rule& rule);

    /// Reads an integer or a fraction.
    [[nodiscard]] double number(const std::string& key, const number_rule& rule);

    /// Reads a string, which may be empty only if the default is.
    [[nodiscard]] std::string text(const std::string& key, const text_rule& rule);

    /// Reads a boolean; required without a default.
    [[nodiscard]] bool boolean(const std::string& key, std::optional<bool> fallback);

    /// Calls `read` with a nested object. A missing object is reported if it is required, and otherwise read as {}.
    void object(const std::string& key, bool required, const std::function<void(json_object_reader&)>& read);

    /// Calls `read` with each object of a list. A missing list is empty.
    void objects(const std::string& key, const std::function<void(json_object_reader&)>& read);

    /// Reads a list of strings. A missing list is empty.
    [[nodiscard]] std::vector<std::string> texts(const std::string& key, const text_rule& rule);

    /// Reports a problem with a key that the caller has found, such as an inconsistency between several keys.
    void add_problem(const std::string& key, std::string found, std::string allowed);

private:
    [[nodiscard]] std::string path_of(const std::string& key) const;
    [[nodiscard]] const nlohmann::json* find(const std::string& key);

    const nlohmann::json& source_;
    std::string path_;
    std::vector<json_problem>& problems_;
    std::set<std::string> read_;
};

} // namespace citronfall
