#include "gateway/output_queue.h"

#include <cassert>
#include <utility>

namespace citronfall {
namespace {

/// Shorter bytes are appended to those before them, so that one system call sends them together.
constexpr std::size_t max_joined_bytes = 16 * 1024;

} // namespace

void output_queue::add(std::string bytes)
{
    if (bytes.empty()) {
        return;
    }
    size_ += bytes.size();
    if (!parts_.empty() && parts_.back().size() + bytes.size() <= max_joined_bytes) {
        parts_.back() += bytes;
    } else {
        parts_.push_back(std::move(bytes));
    }
}

std::string_view output_queue::front() const
{
    return parts_.empty() ? std::string_view{} : std::string_view(parts_.front()).substr(sent_);
}

void output_queue::remove(std::size_t count)
{
    assert(count <= front().size());
    sent_ += count;
    size_ -= count;
    if (!parts_.empty() && sent_ == parts_.front().size()) {
        parts_.pop_front();
        sent_ = 0;
    }
}

} // namespace citronfall
