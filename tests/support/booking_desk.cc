#include "support/booking_desk.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace citronfall {
namespace {

/// Pause between two statements, in milliseconds.
constexpr std::uint64_t min_pause_ms = 5;
constexpr std::uint64_t max_pause_ms = 120;

constexpr std::size_t writes_of_booking = 2;

} // namespace

booking_desk::booking_desk(gateway_simulation& simulation, std::size_t daemon, std::string name, std::uint64_t seed)
    : simulation_(simulation), daemon_(daemon), name_(std::move(name)), random_(seed)
{
}

void booking_desk::step()
{
    if (waiting_) {
        if (const auto answer = take_answer()) {
            take(*answer);
        }
        return;
    }
    if (simulation_.now() < next_at_) {
        return;
    }
    if (session_ == 0) {
        session_ = simulation_.open(daemon_, "fresh");
        answers_ = 1;
        bookings_.emplace_back();
        send("BEGIN");
        return;
    }
    booking& current = bookings_.back();
    if (current.confirmed) {
        bookings_.emplace_back();
        send("BEGIN");
    } else if (current.items.size() < writes_of_booking) {
        current.items.push_back(name_ + "-" + std::to_string(bookings_.size()) + "-" +
                                std::to_string(current.items.size()));
        send("WRITE " + current.items.back());
    } else {
        current.commit_sent = true;
        send("COMMIT");
    }
}

std::optional<statement_reply> booking_desk::take_answer()
{
    const auto& replies = simulation_.replies(daemon_, session_);
    if (replies.size() <= answers_) {
        return std::nullopt;
    }
    const auto* answer = std::get_if<statement_reply>(&replies[answers_].reply);
    ++answers_;
    return answer == nullptr ? std::nullopt : std::optional(*answer);
}

void booking_desk::take(const statement_reply& answer)
{
    waiting_ = false;
    booking& current = bookings_.back();
    if (answer->failure) {
        current.failure = (*answer->failure)->kind;
        simulation_.disconnect(daemon_, std::exchange(session_, 0));
    } else {
        current.confirmed = current.commit_sent;
    }
    pause();
}

void booking_desk::send(const std::string& text)
{
    waiting_ = true;
    simulation_.send(daemon_, session_, text);
}

void booking_desk::pause()
{
    next_at_ = simulation_.now() + std::chrono::milliseconds(min_pause_ms + random_() % (max_pause_ms - min_pause_ms));
}

std::vector<std::string> broken_promises(const gateway_simulation& simulation, const std::vector<booking_desk>& desks)
{
    std::map<std::string, const booking_desk::booking*> by_item;
    for (const booking_desk& desk : desks) {
        for (const booking_desk::booking& each : desk.bookings()) {
            for (const std::string& item : each.items) {
                by_item[item] = &each;
            }
        }
    }
    std::vector<std::string> broken;
    std::set<const booking_desk::booking*> committed;
    for (const std::set<std::string>& items : simulation.commits()) {
        std::set<const booking_desk::booking*> bookings;
        for (const std::string& item : items) {
            bookings.insert(by_item.at(item));
        }
        if (bookings.size() > 1) {
            broken.push_back("mixed: " + *items.begin() + " " + *items.rbegin());
        }
        for (const booking_desk::booking* each : bookings) {
            committed.insert(each);
            if (!each->commit_sent) {
                broken.push_back("not asked for: " + each->items.front());
            }
            if (each->failure && each->failure != error_kind::outcome_unknown) {
                broken.push_back("kept though refused: " + each->items.front());
            }
            if (!std::includes(items.begin(), items.end(), each->items.begin(), each->items.end())) {
                broken.push_back("torn: " + each->items.front());
            }
        }
    }
    for (const booking_desk& desk : desks) {
        for (const booking_desk::booking& each : desk.bookings()) {
            if (each.confirmed && !committed.contains(&each)) {
                broken.push_back("lost: " + each.items.front());
            }
        }
    }
    return broken;
}

} // namespace citronfall
