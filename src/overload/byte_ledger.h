#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace citronfall {

/// Bytes that the connections of one thread hold, against a limit.
///
/// Decides who gives way when the limit is exceeded: the holder of the most bytes, so that a crowd of large holders
/// does not reach an ordinary one. Not thread-safe: owned by the thread whose connections it counts.
class byte_ledger {
public:
    /// Number of a connection.
    using holder = std::uint64_t;

    /// `limit` in bytes.
    explicit byte_ledger(std::size_t limit) : limit_(limit) {}

    /// Sets how many bytes a connection holds; 0 forgets the connection.
    void set(holder connection, std::size_t bytes);

    /// The connection to close or to empty; nothing while the limit is kept.
    [[nodiscard]] std::optional<holder> worst_offender() const;

    /// Bytes that all connections hold.
    [[nodiscard]] std::size_t total() const { return total_; }

    [[nodiscard]] std::size_t limit() const { return limit_; }

private:
    using charge = std::pair<std::size_t, holder>;

    std::size_t limit_;
    std::size_t total_ = 0;
    std::unordered_map<holder, std::size_t> held_;
    std::set<charge> large_; ///< The charges that are worth an order.
};

} // namespace citronfall
