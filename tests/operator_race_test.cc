#include "document/document_committer.h"
#include "document_codec/document_codec.h"
#include "standin/platform_model.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include <catch2/catch.hpp>

using namespace citronfall;

namespace {

constexpr std::uint64_t seeds = 4'000;
constexpr int operators = 6;

/// Simulates concurrent operators: before each platform call of one operator, others may run to completion. Because
/// only a compare-and-swap has an effect, this covers every order of effects and every base that an attempt can have.
class operator_race {
public:
    explicit operator_race(std::uint64_t seed) : random_(seed) {}

    void run()
    {
        while (next_ < operators) {
            run_operator(next_++);
        }
    }

    standin::platform_model platform;
    std::set<std::string> confirmed;
    std::set<std::string> refused;
    std::vector<document_state> written;

private:
    void run_other_operators()
    {
        while (next_ < operators && random_() % 3 == 0) {
            run_operator(next_++);
        }
    }

    void run_operator(int number)
    {
        const std::string nonce = "op" + std::to_string(number);
        const document_committer acceptance(
            {.read = [this]() -> result<kv_entry> {
                 run_other_operators();
                 if (random_() % 10 == 0) {
                     return error{{.kind = error_kind::connect_failed}};
                 }
                 // A stale read returns an earlier entry.
                 return !entries_.empty() && random_() % 5 == 0 ? entries_[random_() % entries_.size()]
                                                                : platform.read("document");
             },
             .compare_and_swap = [this](kv_revision expected,
                                        const std::string& value) { return swap(expected, value); },
             .decode = [](const std::string& text) { return document_codec::decode(text); },
             .encode = document_codec::encode,
             .check = [](const document_state&) { return std::vector<document_problem>{}; },
             .pause = [this](unsigned) { run_other_operators(); },
             .max_attempts = 60});
        const auto base = acceptance.current();
        const auto* current = std::get_if<document_state>(&base);
        if (current == nullptr) {
            return;
        }
        const auto part = static_cast<document_part_id>(random_() % section_count);
        const auto outcome = acceptance.commit(
            document_proposal{{.author = nonce,
                               .reason = "race",
                               .time = 1,
                               .nonce = nonce,
                               .base = *current,
                               .sections = {{part, document_section{{.content = "{\"by\":\"" + nonce + "\"}"}}}}}});
        if (std::holds_alternative<document_state>(outcome)) {
            confirmed.insert(nonce);
        } else if (std::holds_alternative<std::vector<document_problem>>(outcome)) {
            refused.insert(nonce);
        }
    }

    result<kv_entry> swap(kv_revision expected, const std::string& value)
    {
        run_other_operators();
        const auto outcome_draw = random_() % 10;
        if (outcome_draw == 0) {
            return error{{.kind = error_kind::outcome_unknown}}; // The request was lost.
        }
        const auto entry = platform.compare_and_swap("document", expected, value);
        if (!entry) {
            return error{{.kind = error_kind::conflict}};
        }
        entries_.push_back(*entry);
        written.push_back(std::get<document_state>(document_codec::decode(value)));
        if (outcome_draw <= 2) {
            run_other_operators();
            return error{{.kind = error_kind::outcome_unknown}}; // The response was lost after the write took effect.
        }
        return *entry;
    }

    std::mt19937_64 random_;
    std::vector<kv_entry> entries_;
    int next_ = 0;
};

bool history_contains(const document_state& document, const std::string& nonce)
{
    return std::any_of(document->history.begin(), document->history.end(),
                       [&](const document_history_entry& each) { return each->nonce == nonce; });
}

} // namespace

// Guards against an accepted change that is lost or reverted, and against a refused change that takes effect.
TEST_CASE("concurrent operators neither lose nor revert an accepted change", "[operator_race]")
{
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        operator_race race(seed);
        race.run();
        INFO("seed " << seed);
        if (race.written.empty()) {
            continue;
        }
        accepted += race.confirmed.size();
        conflicts += race.refused.size();
        const document_state& last = race.written.back();
        CHECK(unrecorded_parts(last).empty());
        for (const std::string& nonce : race.confirmed) {
            CHECK(history_contains(last, nonce));
        }
        for (const std::string& nonce : race.refused) {
            CHECK_FALSE(history_contains(last, nonce));
        }
        document_state before;
        for (const document_state& each : race.written) {
            REQUIRE(each->revision == before->revision + 1);
            REQUIRE(each->history.size() == before->history.size() + 1);
            // Each write changes exactly the sections that its history entry names, and no nonce occurs twice.
            CHECK_FALSE(history_contains(before, each->nonce));
            for (const auto& [part, section] : before->sections) {
                const bool named = each->history.back()->parts.contains(part);
                CHECK((each->sections.at(part) == section) == !named);
            }
            before = each;
        }
    }
    std::cout << "operator race: seeds 1 to " << seeds << ", accepted " << accepted << ", conflicts " << conflicts
              << '\n';
    CHECK(conflicts > seeds / 10);
    CHECK(accepted > seeds);
}
