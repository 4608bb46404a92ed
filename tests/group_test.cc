#include "citronfall/group_view.h"

#include "group/status_round_history.h"

#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

log_position at(term_number term, log_index index)
{
    return log_position{{.term = term, .index = index}};
}

/// Entries 1 to 10 were written in term 1, later ones in term 2.
term_history history(term_number term)
{
    term_history_fields fields{.starts = {term_start{{.term = 1, .start = 1}}}};
    if (term == 2) {
        fields.starts.push_back(term_start{{.term = 2, .start = 11}});
    }
    return term_history{std::move(fields)};
}

struct member_report {
    const char* member;
    bool primary;
    term_number term;         ///< Term that the member is in.
    term_number history_term; ///< Term of the last entry of its log.
    log_index last;
    duration sent;
};

status_observation observation(const member_report& each)
{
    return status_observation{
        {.status = member_status{{.member = each.member,
                                  .role = each.primary ? member_role::primary : member_role::replica,
                                  .term = each.term,
                                  .last_index = each.last,
                                  .applied_index = each.last,
                                  .history = history(each.history_term)}},
         .sent_at = instant(each.sent),
         .received_at = instant(each.sent + 1ms)}};
}

group_view view_of(const std::vector<member_report>& all)
{
    group_view view{{.group = "g", .member_count = 3}};
    for (const member_report& each : all) {
        view = view.observe(observation(each));
    }
    return view;
}

} // namespace

TEST_CASE("a position is confirmed only by a majority in one term", "[group]")
{
    struct row {
        const char* guards_against;
        std::vector<member_report> all;
        log_position position;
        bool confirmed;
        bool superseded;
    };
    const row rows[] = {
        {"a confirmation by one member", {{"a", true, 1, 1, 5, 1s}, {"b", false, 1, 1, 4, 1s}}, at(1, 5), false, false},
        {"a majority that does not confirm",
         {{"a", true, 1, 1, 5, 1s}, {"b", false, 1, 1, 5, 1s}},
         at(1, 5),
         true,
         false},
        {"a confirmation by a fenced member",
         {{"a", true, 1, 1, 5, 1s}, {"b", false, 2, 1, 5, 1s}},
         at(1, 5),
         false,
         false},
        {"an older term's entry that is confirmed before a majority has the new term's first entry",
         {{"b", true, 2, 2, 11, 1s}, {"c", false, 2, 1, 10, 1s}},
         at(1, 5),
         false,
         false},
        {"a surviving write that is never confirmed",
         {{"b", true, 2, 2, 11, 1s}, {"c", false, 2, 2, 11, 1s}},
         at(1, 5),
         true,
         false},
        {"confirmation of a write that the change of primary lost",
         {{"b", true, 2, 2, 12, 1s}, {"c", false, 2, 2, 12, 1s}},
         at(1, 11),
         false,
         true},
    };
    for (const row& each : rows) {
        INFO(each.guards_against);
        const group_view view = view_of(each.all);
        CHECK(view.confirmed(each.position) == each.confirmed);
        CHECK(view.superseded(each.position) == each.superseded);
    }
}

TEST_CASE("a status round is as old as the oldest call of its majority", "[group]")
{
    // Guards against a staleness that is measured from the newest call, which would be too low.
    const group_view view = view_of({{"a", true, 1, 1, 9, 3s}, {"b", false, 1, 1, 7, 2s}, {"c", false, 1, 1, 2, 1s}});
    const auto round = view.completed_round();
    REQUIRE(round.has_value());
    CHECK((*round)->sent_at == instant(2s));
    CHECK((*round)->position == at(1, 9));
    CHECK(view.term_held_since(1, instant(2s)));
    CHECK_FALSE(view.term_held_since(1, instant(2500ms)));
    // There is no round without the primary's status, nor while the newest term has no primary.
    CHECK_FALSE(view_of({{"b", false, 1, 1, 7, 2s}, {"c", false, 1, 1, 2, 1s}}).completed_round().has_value());
    CHECK_FALSE(view.observe(observation({"c", false, 2, 1, 7, 4s})).completed_round().has_value());
}

TEST_CASE("an older observation that arrives late does not change a view", "[group]")
{
    const group_view newer = view_of({{"a", true, 1, 1, 9, 2s}});
    CHECK(newer.observe(observation({"a", true, 1, 1, 5, 1s})) == newer);
}

TEST_CASE("a position in an answer advances a member's status only within the observed log", "[group]")
{
    const group_view view = view_of({{"a", true, 1, 1, 5, 1s}});
    CHECK(view.advance("a", 1, at(1, 8))->latest.at("a")->status->applied_index == 8);
    CHECK(view.advance("a", 1, at(1, 8))->latest.at("a")->sent_at == instant(1s));
    CHECK(view.advance("a", 2, at(1, 8)) == view); // The member is in another term.
    CHECK(view.advance("a", 1, at(2, 8)) == view); // The observed log does not contain the entry.
    CHECK(view.advance("a", 1, at(1, 3)) == view); // The answer to a repeated request has its old position.
    CHECK(view.advance("z", 1, at(1, 8)) == view);
}

TEST_CASE("the round history returns the oldest sufficient round and stays bounded", "[group]")
{
    status_round_history rounds;
    CHECK(rounds.oldest_since(instant{}) == nullptr);
    for (int i = 0; i < 3000; ++i) {
        rounds.add(status_round{{.sent_at = instant(i * 10ms), .position = at(1, static_cast<log_index>(i))}});
    }
    CHECK(rounds.size() <= 1024);
    const auto* found = rounds.oldest_since(instant(29'501ms));
    REQUIRE(found != nullptr);
    CHECK((*found)->sent_at == instant(29'510ms));
    CHECK(rounds.oldest_since(instant(29'991ms)) == nullptr);
    const auto size = rounds.size();
    rounds.add(status_round{{.sent_at = instant(1s), .position = at(1, 100)}}); // A late round is ignored.
    CHECK(rounds.size() == size);
}
