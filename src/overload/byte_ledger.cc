#include "overload/byte_ledger.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Smaller charges are only summed up, so that an ordinary statement costs no ordered insertion.
constexpr std::size_t min_ordered_charge = 16 * 1024;

} // namespace

void byte_ledger::set(holder connection, std::size_t bytes)
{
    const auto found = held_.find(connection);
    const std::size_t before = found == held_.end() ? 0 : found->second;
    if (before == bytes) {
        return;
    }
    total_ = total_ - before + bytes;
    if (before >= min_ordered_charge) {
        large_.erase({before, connection});
    }
    if (bytes >= min_ordered_charge) {
        large_.emplace(bytes, connection);
    }
    if (bytes == 0) {
        held_.erase(found);
    } else if (found == held_.end()) {
        held_.emplace(connection, bytes);
    } else {
        found->second = bytes;
    }
}

std::optional<byte_ledger::holder> byte_ledger::worst_offender() const
{
    if (total_ <= limit_) {
        return std::nullopt;
    }
    if (!large_.empty()) {
        return large_.rbegin()->second;
    }
    return std::max_element(held_.begin(), held_.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
}

} // namespace citronfall
