#include "request/request_engine.h"

#include "citronfall/chart.h"
#include "citronfall/error_table.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

constexpr instant begin{1s};

const member_key primary{{.group = "g", .member = "a"}};

log_position at(term_number term, log_index index)
{
    return log_position{{.term = term, .index = index}};
}

/// Status of a member whose log ends at `last`. If the member is in term 2, its log has the start of that term,
/// entry 6.
status_observation status_of(const std::string& member, member_role role, term_number term, log_index last,
                             instant sent)
{
    term_history_fields history{.starts = {term_start{{.term = 1, .start = 1}}}};
    if (term == 2) {
        history.starts.push_back(term_start{{.term = 2, .start = 6}});
    }
    return status_observation{{.status = member_status{{.member = member,
                                                        .role = role,
                                                        .term = term,
                                                        .last_index = last,
                                                        .applied_index = last,
                                                        .history = term_history{std::move(history)}}},
                               .sent_at = sent,
                               .received_at = sent + 1ms}};
}

/// A request engine with hooks that record their calls. Member `a` is primary in term 1, `b` in term 2.
struct engine_fixture {
    engine_fixture()
        : engine(take(request_engine::make(
              {.routes = &routes,
               .view = [this](const std::string&) -> const group_view& { return view; },
               .admit = [this](const caller_request&, const member_key&, instant) { return refused; },
               .enqueue = [this](const caller_request& each, const member_key& member,
                                 instant) { waiting[member].push_back(each->handle); },
               .withdraw =
                   [this](request_handle each) {
                       for (auto& [member, queue] : waiting) {
                           std::erase(queue, each);
                       }
                   },
               .ready = [this](const member_key& member, instant) { return waiting[member].size(); },
               .take = [this](const member_key& member, instant) { return next_waiting(member); },
               .exchange_ended = [](request_handle, instant) {},
               .request_ended = [this](request_handle each, instant) { ended.insert(each); },
               .acquire =
                   [this](const member_key& member) {
                       if (!connected) {
                           return std::optional<connection_number>();
                       }
                       members[++numbers] = member->member;
                       return std::optional(numbers);
                   },
               .ensure_connections = [](const member_key&, std::size_t, instant) {},
               .release = [this](connection_number each) { released.insert(each); },
               .discard = [this](connection_number each) { discarded.insert(each); },
               .poll_group_status = [](const std::string&, instant) {},
               .observe_position = [](const member_key&, const member_answer&) {},
               .next_number = [this] { return ++numbers; },
               .send = [this](const upstream_command& each) { sent.push_back(each); },
               .answer = [this](const caller_answer& each) { answers.push_back(each); },
               .random = [] { return std::uint64_t{0}; },
               .retry_percent =
                   [this] {
                       return retry_percent;
                   }})))
    {
        configure({});
        observe(1, 4, begin);
    }

    void reply(const upstream_command& call, const member_answer& answer, instant now)
    {
        engine.apply(upstream_event{{.kind = upstream_event_kind::answered,
                                     .connection = call->connection,
                                     .exchange = call->exchange,
                                     .answer = answer,
                                     .bytes_sent = true,
                                     .sent_at = now - 1ms,
                                     .received_at = now}},
                     now);
    }

    void reply(const member_answer& answer, instant now) { reply(upstream_command(sent.back()), answer, now); }

    void fail(bool bytes_sent, instant now)
    {
        engine.apply(upstream_event{{.kind = upstream_event_kind::failed,
                                     .connection = sent.back()->connection,
                                     .exchange = sent.back()->exchange,
                                     .bytes_sent = bytes_sent}},
                     now);
    }

    /// Statuses of the primary and one replica, which report `term` and a log that ends at `last`.
    void observe(term_number term, log_index last, instant sent_at)
    {
        const std::string leader = term == 1 ? "a" : "b";
        observe_one(leader, term, last, sent_at);
        observe_one("c", term, last, sent_at);
    }

    void observe_one(const std::string& member, term_number term, log_index last, instant sent_at)
    {
        const bool leads = member == (term == 1 ? "a" : "b");
        view =
            view.observe(status_of(member, leads ? member_role::primary : member_role::replica, term, last, sent_at));
        routes.observe(view);
        engine.evidence_changed("g", sent_at + 1ms);
    }

    [[nodiscard]] std::size_t count(member_operation operation) const
    {
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](const upstream_command& each) {
            return each->call->operation == operation;
        }));
    }

    [[nodiscard]] outcome reported() const
    {
        REQUIRE(answers.size() == 1);
        return answers[0]->failure ? error_row_for(*answers[0]->failure).effect : outcome::done;
    }

    std::optional<request_handle> next_waiting(const member_key& member)
    {
        auto& queue = waiting[member];
        if (queue.empty()) {
            return std::nullopt;
        }
        const request_handle next = queue.front();
        queue.pop_front();
        return next;
    }

    void configure(const std::set<member_key>& leaving)
    {
        routes.configure(operator_config{
            {.groups = {{"g", group_config{{.name = "g",
                                            .members = {member_config{{.name = "a"}}, member_config{{.name = "b"}},
                                                        member_config{{.name = "c"}}}}}}},
             .leaving = leaving}});
        engine.routes_changed(begin + 10ms);
    }

    std::optional<refusal> refused;
    bool connected = true; ///< Whether connections are available.
    std::map<member_key, std::deque<request_handle>> waiting;
    std::set<request_handle> ended;
    std::uint64_t numbers = 100;
    std::uint32_t retry_percent = 100;
    router routes{{.data_center = "here", .random = [] {
                       return std::uint64_t{0};
                   }}};
    group_view view{{.group = "g", .member_count = 3}};
    std::vector<upstream_command> sent;
    std::vector<caller_answer> answers;
    std::map<connection_number, std::string> members;
    std::set<connection_number> released;
    std::set<connection_number> discarded;
    request_engine engine;
};

caller_request request_of(statement_kind kind, bool repeatable = false, request_handle handle = 1)
{
    return caller_request{{.handle = handle,
                           .group = "g",
                           .kind = kind,
                           .statement = "text",
                           .request_id = "id-" + std::to_string(handle),
                           .repeatable = repeatable,
                           .received = begin,
                           .deadline = begin + 2s}};
}

caller_request commit_request()
{
    return with(request_of(statement_kind::write),
                [](caller_request_fields& fields) { fields.operation = caller_operation::commit; });
}

member_answer answer_of(member_verdict verdict, const log_position& position = {}, const std::string& result = "null")
{
    return member_answer{{.verdict = verdict, .term = position->term, .position = position, .result = result}};
}

const caller_request a_write = request_of(statement_kind::write);
const caller_request repeatable_write = request_of(statement_kind::write, true);
const caller_request a_read = request_of(statement_kind::read);

} // namespace

TEST_CASE("the chart answers \"not run\" only where nothing can have run", "[request]")
{
    // Guards against a new transition that answers "not run" without proof. Each row states the proof.
    using key = std::tuple<std::string, std::string, std::string>;
    const std::map<key, const char*> proofs = {
        {{"received", "start", "answer_refused"}, "no call has been sent"},
        {{"received", "start", "answer_deadline_before_send"}, "no call has been sent"},
        {{"received", "start_commit", "answer_rolled_back"}, "no commit has been sent; the connection is closed"},
        {{"pausing", "deadline_passed", "answer_no_fresh_member"}, "no call is outstanding, earlier ones were refused"},
        {{"pausing", "deadline_passed", "answer_no_primary"}, "no call is outstanding, earlier ones were refused"},
        {{"backing_off", "deadline_passed", "answer_nothing_run"}, "all calls were refused or not sent"},
        {{"waiting", "deadline_passed", "answer_nothing_run"}, "all calls were refused or not sent"},
        {{"waiting", "deadline_passed", "answer_deadline_before_send"}, "no call has been sent"},
        {{"sent", "nothing_run", "answer_nothing_run"}, "the member refused without running anything"},
        {{"sent", "nothing_run", "answer_rolled_back"}, "the member refused; closing the connection rolls back"},
        {{"sent", "call_unsent", "answer_nothing_run"}, "no byte of the call was sent"},
        {{"sent", "call_unsent", "answer_rolled_back"}, "no byte of the commit was sent; the connection is closed"},
        {{"sent", "cancelled", "answer_cancelled"},
         "a majority has the cancellation in its log (guard evidence_sufficient)"},
        {{"retry_sent", "cancelled", "answer_cancelled"}, "a majority has the cancellation in its log (guard)"},
        {{"resolve_sent", "cancelled", "answer_cancelled"}, "a majority has the cancellation in its log (guard)"},
        {{"confirming_cancellation", "evidence_changed", "answer_cancelled"},
         "a majority has the cancellation in its log"},
        {{"confirming_cancellation", "route_changed", "answer_cancelled"},
         "a majority has the cancellation in its log"},
    };
    const std::set<std::string> tell_not_run = {
        "answer_refused",     "answer_deadline_before_send", "answer_no_fresh_member", "answer_no_primary",
        "answer_nothing_run", "answer_rolled_back",          "answer_cancelled"};
    const std::set<std::string> tell_other = {"answer_done", "answer_refusal", "answer_unknown"};
    const auto subject = value_of(chart::make_embedded("request"));
    std::set<key> found;
    for (const chart_state& state : subject.states()) {
        for (const chart_transition& transition : state->transitions) {
            for (const std::string& action : transition->actions) {
                if (tell_not_run.contains(action)) {
                    found.insert({state->name, transition->event, action});
                    CHECK((action != "answer_cancelled" || transition->guard == "evidence_sufficient"));
                } else {
                    CHECK((!action.starts_with("answer_") || tell_other.contains(action)));
                }
            }
        }
    }
    std::set<key> expected;
    for (const auto& [place, proof] : proofs) {
        expected.insert(place);
    }
    CHECK(found == expected);
}

TEST_CASE("the caller gets the right answer after each result of the first call", "[request]")
{
    struct row {
        const char* guards_against;
        caller_request request;
        std::optional<member_verdict> verdict; ///< Absent: the connection failed.
        bool bytes_sent;
        std::optional<error_kind> reported; ///< Absent: no answer yet.
        std::size_t resolves;
    };
    const row rows[] = {
        {"an answer without evidence", a_write, member_verdict::done, true, {}, 0},
        {"a refusal that depends on entries that may be lost", a_write, member_verdict::conflict, true, {}, 0},
        {"a cancellation that may be lost", a_write, member_verdict::cancelled, true, {}, 0},
        {"a write that is sent again after a refusal", a_write, member_verdict::wrong_term, true,
         error_kind::term_changed, 0},
        {"a write that is sent again after a refusal", a_write, member_verdict::not_primary, true,
         error_kind::term_changed, 0},
        {"a write that is sent again after a refusal", a_write, member_verdict::no_slot, true, error_kind::overloaded,
         0},
        {"an answer that is trusted although it cannot be decoded", a_write, member_verdict::malformed, true, {}, 1},
        {"\"not run\" for a call that may still run", a_write, {}, true, {}, 1},
        {"a resolve call for a write that was never sent", a_write, {}, false, error_kind::connect_failed, 0},
        {"a transaction that stays open", commit_request(), member_verdict::wrong_term, true,
         error_kind::transaction_lost, 0},
        {"a transaction that stays open", commit_request(), member_verdict::no_transaction, true,
         error_kind::transaction_lost, 0},
        {"a commit without evidence", commit_request(), member_verdict::done, true, {}, 0},
        {"\"not run\" for a commit that may still run", commit_request(), {}, true, {}, 1},
        {"a transaction that stays open", commit_request(), {}, false, error_kind::transaction_lost, 0},
    };
    for (const row& each : rows) {
        INFO(each.guards_against);
        engine_fixture fixture;
        const bool commit = each.request->operation == caller_operation::commit;
        if (commit) {
            fixture.engine.start_commit(each.request, class_config{}, primary, 7, begin + 5ms);
            CHECK(fixture.sent.back()->connection == 7);
            CHECK(fixture.sent.back()->call->operation == member_operation::commit);
        } else {
            fixture.engine.start(each.request, class_config{}, begin + 5ms);
        }
        REQUIRE(fixture.sent.size() == 1);
        CHECK(fixture.sent.back()->call->request_id == "id-1");
        const connection_number used = fixture.sent.back()->connection;
        if (each.verdict) {
            fixture.reply(answer_of(*each.verdict, at(1, 5)), begin + 6ms);
        } else {
            fixture.fail(each.bytes_sent, begin + 6ms);
        }
        CHECK(fixture.count(member_operation::resolve) == each.resolves);
        CHECK(fixture.count(member_operation::statement) + fixture.count(member_operation::commit) == 1);
        REQUIRE(fixture.answers.size() == (each.reported ? 1 : 0));
        if (each.reported) {
            CHECK(fixture.answers[0]->failure == each.reported);
            CHECK(fixture.reported() == outcome::not_run);
        }
        const bool in_doubt = !each.verdict || *each.verdict == member_verdict::malformed;
        const bool refused_commit = commit && each.reported.has_value();
        CHECK(fixture.discarded.contains(used) == (in_doubt || refused_commit));
        CHECK(fixture.released.contains(used) == !(in_doubt || refused_commit));
        // A majority's evidence for entry 5 ends what waits for it.
        fixture.observe(1, 5, begin + 20ms);
        fixture.engine.tick(begin + 3s);
        CHECK(fixture.engine.in_progress() == 0);
        CHECK(fixture.answers.size() == 1);
        const bool confirmed = !each.reported && !in_doubt;
        CHECK((fixture.answers[0]->evidence == evidence_kind::majority) == confirmed);
    }
}

TEST_CASE("a write whose call is lost is resolved, and its outcome waits for a majority", "[request]")
{
    struct row {
        member_verdict verdict;
        outcome reported;
    };
    const row rows[] = {{member_verdict::done, outcome::done},
                        {member_verdict::conflict, outcome::done},
                        {member_verdict::cancelled, outcome::not_run}};
    for (const row& each : rows) {
        for (const bool in_new_term : {false, true}) {
            engine_fixture fixture;
            fixture.engine.start(a_write, class_config{}, begin + 5ms);
            if (in_new_term) {
                // Member b is primary in term 2 without the entries that a wrote after entry 5; a never answers.
                fixture.observe(2, 6, begin + 10ms);
            } else {
                fixture.fail(true, begin + 10ms);
            }
            REQUIRE(fixture.sent.back()->call->operation == member_operation::resolve);
            CHECK(fixture.members.at(fixture.sent.back()->connection) == (in_new_term ? "b" : "a"));
            CHECK(fixture.sent.back()->call->term == (in_new_term ? 2 : 1));
            const log_position entry = in_new_term ? at(2, 7) : at(1, 5);
            fixture.reply(answer_of(each.verdict, entry), begin + 12ms);
            CHECK(fixture.answers.empty());
            fixture.observe_one(in_new_term ? "b" : "a", entry->term, entry->index, begin + 14ms);
            CHECK(fixture.answers.empty()); // Only the primary has the entry.
            fixture.observe(entry->term, entry->index, begin + 16ms);
            CHECK(fixture.reported() == each.reported);
            CHECK(fixture.count(member_operation::statement) == 1);
        }
    }
}

TEST_CASE("a write that a change of primary lost is never confirmed", "[request]")
{
    engine_fixture fixture;
    fixture.engine.start(a_write, class_config{}, begin + 5ms);
    fixture.reply(answer_of(member_verdict::done, at(1, 6)), begin + 6ms);
    fixture.observe(2, 6, begin + 10ms); // Term 2 began at entry 6: entry (1, 6) is lost.
    CHECK(fixture.answers.empty());
    REQUIRE(fixture.sent.back()->call->operation == member_operation::resolve);
    fixture.reply(answer_of(member_verdict::cancelled, at(2, 7)), begin + 12ms);
    fixture.observe(2, 7, begin + 14ms);
    CHECK(fixture.reported() == outcome::not_run);
    // An entry that survived is confirmed by a majority of the new term.
    engine_fixture surviving;
    surviving.engine.start(a_write, class_config{}, begin + 5ms);
    surviving.reply(answer_of(member_verdict::done, at(1, 5)), begin + 6ms);
    surviving.observe(2, 6, begin + 10ms);
    CHECK(surviving.reported() == outcome::done);
}

TEST_CASE("without proof by the deadline the outcome is unknown", "[request]")
{
    for (const bool answered : {false, true}) {
        engine_fixture fixture;
        fixture.engine.start(a_write, class_config{}, begin + 5ms);
        fixture.fail(true, begin + 6ms);
        const auto resolve = fixture.sent.back();
        if (answered) {
            fixture.reply(answer_of(member_verdict::cancelled, at(1, 5)), begin + 7ms);
        }
        fixture.engine.tick(begin + 2s);
        CHECK(fixture.reported() == outcome::unknown);
        // The late answer is dropped.
        fixture.reply(resolve, answer_of(member_verdict::cancelled, at(1, 5)), begin + 2100ms);
        fixture.observe(1, 5, begin + 2200ms);
        CHECK(fixture.answers.size() == 1);
    }
}

TEST_CASE("a late answer on an abandoned exchange is dropped", "[request]")
{
    engine_fixture fixture;
    fixture.engine.start(a_write, class_config{}, begin + 5ms);
    const auto first = fixture.sent.back();
    fixture.engine.tick(begin + 2s);
    CHECK(fixture.reported() == outcome::unknown);
    CHECK(fixture.discarded.contains(first->connection));
    fixture.engine.start(with(request_of(statement_kind::write, false, 2),
                              [](caller_request_fields& fields) { fields.deadline = begin + 9s; }),
                         class_config{}, begin + 3s);
    fixture.reply(first, answer_of(member_verdict::done, at(1, 3), "\"first\""), begin + 3s + 1ms);
    CHECK(fixture.answers.size() == 1);
    fixture.reply(answer_of(member_verdict::done, at(1, 4), "\"second\""), begin + 3s + 2ms);
    REQUIRE(fixture.answers.size() == 2);
    CHECK(fixture.answers[1]->handle == 2);
    CHECK(fixture.answers[1]->result == "\"second\"");
}

TEST_CASE("answers that arrive out of order are matched to their requests", "[request]")
{
    engine_fixture fixture;
    for (request_handle handle = 1; handle <= 3; ++handle) {
        fixture.engine.start(request_of(statement_kind::write, false, handle), class_config{}, begin + 5ms);
    }
    const auto calls = fixture.sent;
    REQUIRE(calls.size() == 3);
    for (const std::size_t i : {2U, 0U, 1U}) {
        fixture.reply(calls[i], answer_of(member_verdict::done, at(1, 2 + i), std::to_string(i + 1)), begin + 6ms);
    }
    REQUIRE(fixture.answers.size() == 3);
    for (const caller_answer& each : fixture.answers) {
        CHECK(each->result == std::to_string(each->handle));
    }
}

TEST_CASE("repeatable statements are retried only within the retry budget and the deadline", "[request]")
{
    struct row {
        const char* guards_against;
        caller_request request;
        std::uint32_t percent;
        std::size_t statements;
        outcome reported;
    };
    const row rows[] = {
        {"a repeatable write that is never retried", repeatable_write, 100, 2, outcome::unknown},
        {"a read that is never retried", a_read, 100, 2, outcome::unknown},
        {"retries without a budget", a_read, 0, 1, outcome::unknown},
        {"retries without a budget", repeatable_write, 0, 1, outcome::unknown},
        {"a second run of a statement that must run once", a_write, 1000, 1, outcome::unknown},
    };
    for (const row& each : rows) {
        INFO(each.guards_against);
        engine_fixture fixture;
        fixture.retry_percent = each.percent;
        fixture.engine.start(each.request, class_config{}, begin + 5ms);
        for (duration passed = 10ms; passed < 2s; passed += 10ms) {
            if (!fixture.sent.empty() && fixture.sent.back()->call->operation == member_operation::statement) {
                fixture.fail(true, begin + passed);
            }
            fixture.engine.tick(begin + passed);
        }
        fixture.engine.tick(begin + 2s);
        CHECK(fixture.count(member_operation::statement) == each.statements);
        CHECK(fixture.reported() == each.reported);
    }
    engine_fixture late;
    late.engine.start(a_read, class_config{}, begin + 5ms);
    late.fail(true, begin + 1995ms); // The pause would end beyond the deadline.
    CHECK(late.reported() == outcome::unknown);
}

TEST_CASE("a linearizable read waits until a later status round confirms the primary", "[request]")
{
    engine_fixture fixture;
    fixture.engine.start(a_read, class_config{}, begin + 5ms);
    fixture.reply(answer_of(member_verdict::done, at(1, 4)), begin + 7ms);
    CHECK(fixture.answers
              .empty()); // Entry 4 is confirmed, but the member may have been replaced as primary before the read.
    fixture.observe(1, 4, begin + 8ms);
    CHECK(fixture.reported() == outcome::done);
    engine_fixture replaced;
    replaced.engine.start(a_read, class_config{}, begin + 5ms);
    replaced.reply(answer_of(member_verdict::done, at(1, 4)), begin + 7ms);
    replaced.observe(2, 6, begin + 8ms);
    CHECK(replaced.answers.empty());
    replaced.engine.tick(begin + 50ms);
    REQUIRE(replaced.count(member_operation::statement) == 2);
    CHECK(replaced.members.at(replaced.sent.back()->connection) == "b");
}

TEST_CASE("a read that a lagging member refuses goes to another one, and fails at the deadline", "[request]")
{
    engine_fixture fixture;
    fixture.observe_one("b", 1, 4, begin);
    fixture.engine.start(with(a_read, [](caller_request_fields& fields) { fields.max_staleness = 500ms; }),
                         class_config{}, begin + 5ms);
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(fixture.sent.size() == static_cast<std::size_t>(i + 1));
        asked.insert(fixture.members.at(fixture.sent.back()->connection));
        CHECK(fixture.sent.back()->call->minimum == at(1, 4));
        fixture.reply(answer_of(member_verdict::behind), begin + 6ms + i * 1ms);
    }
    CHECK(asked == std::set<std::string>{"a", "b", "c"});
    CHECK(fixture.answers.empty());
    fixture.engine.tick(begin + 2s);
    CHECK(fixture.answers.at(0)->failure == error_kind::no_fresh_member);
}

TEST_CASE("a request that admission refuses is answered with a retry delay and is not sent", "[request]")
{
    engine_fixture fixture;
    fixture.refused = refusal{{.detail = "full", .retry_after = 30ms}};
    fixture.engine.start(a_write, class_config{}, begin + 5ms);
    CHECK(fixture.reported() == outcome::not_run);
    CHECK(fixture.answers[0]->retry_after == 30ms);
    CHECK(fixture.sent.empty());
    CHECK(fixture.ended == std::set<request_handle>{1});
}

TEST_CASE("a write fails if it cannot be sent, and waits while no primary is known", "[request]")
{
    engine_fixture fixture;
    fixture.engine.start(a_write, class_config{}, begin + 5ms);
    fixture.fail(false, begin + 6ms);
    CHECK(fixture.reported() == outcome::not_run);
    engine_fixture empty;
    empty.view = group_view{{.group = "g", .member_count = 3}};
    empty.routes.observe(empty.view);
    empty.engine.start(a_write, class_config{}, begin + 5ms);
    CHECK(empty.sent.empty()); // No primary is known; the write waits for one.
    empty.observe(2, 6, begin + 300ms);
    REQUIRE(empty.sent.size() == 1);
    CHECK(empty.members.at(empty.sent[0]->connection) == "b");
}

TEST_CASE("a waiting request is rerouted from a member that is leaving or unreachable", "[request]")
{
    const auto aged = with(a_read, [](caller_request_fields& fields) { fields.max_staleness = 500ms; });
    for (const bool leaving : {false, true}) {
        engine_fixture fixture;
        fixture.connected = false;
        fixture.engine.start(aged, class_config{}, begin + 5ms);
        const member_key replica{{.group = "g", .member = "c"}};
        REQUIRE(fixture.waiting[replica].size() == 1);
        fixture.connected = true;
        if (leaving) {
            fixture.configure({replica});
        } else {
            fixture.engine.member_unreachable(replica, begin + 10ms);
        }
        CHECK(fixture.waiting[replica].empty());
        REQUIRE(fixture.sent.size() == 1);
        CHECK(fixture.members.at(fixture.sent[0]->connection) == "a");
    }
    // A write cannot go to a replica: it waits for a primary that is not leaving, and is not run.
    engine_fixture writing;
    writing.connected = false;
    writing.engine.start(a_write, class_config{}, begin + 5ms);
    writing.configure({primary});
    writing.connected = true;
    writing.engine.tick(begin + 2s);
    CHECK(writing.sent.empty());
    CHECK(writing.answers.at(0)->failure == error_kind::no_primary);
}

TEST_CASE("an exchange on a connection that was closed as silent counts as lost", "[request]")
{
    engine_fixture fixture;
    fixture.engine.start(a_write, class_config{}, begin + 5ms);
    fixture.engine.connection_lost(fixture.sent[0]->connection, begin + 300ms);
    CHECK(fixture.sent.back()->call->operation == member_operation::resolve);
    fixture.engine.connection_lost(4711, begin + 300ms); // Not a connection of the engine.
    CHECK(fixture.engine.in_progress() == 1);
}

TEST_CASE("a class may accept the primary's confirmation of a write, but not of a cancellation", "[request]")
{
    const class_config config{{.evidence = evidence_kind::primary}};
    engine_fixture fixture;
    fixture.engine.start(a_write, config, begin + 5ms);
    fixture.reply(answer_of(member_verdict::done, at(1, 5)), begin + 6ms);
    CHECK(fixture.reported() == outcome::done);
    CHECK(fixture.answers[0]->evidence == evidence_kind::primary);
    engine_fixture cancelled;
    cancelled.engine.start(a_write, config, begin + 5ms);
    cancelled.reply(answer_of(member_verdict::cancelled, at(1, 5)), begin + 6ms);
    CHECK(cancelled.answers.empty());
    cancelled.observe(1, 5, begin + 8ms);
    CHECK(cancelled.reported() == outcome::not_run);
    CHECK(cancelled.answers[0]->evidence == evidence_kind::majority);
}

TEST_CASE("the retry budget follows the requests of the last ten seconds", "[request]")
{
    retry_budget budget;
    CHECK_FALSE(budget.allows(10, begin));
    for (int i = 0; i < 100; ++i) {
        budget.count_request(begin);
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(budget.allows(10, begin + 5s));
        budget.count_retry(begin + 5s);
    }
    CHECK_FALSE(budget.allows(10, begin + 5s));
    budget.count_request(begin + 12s); // The first hundred requests no longer count, the ten retries still do.
    CHECK_FALSE(budget.allows(10, begin + 12s));
    budget.count_request(begin + 30s);
    CHECK(budget.allows(10, begin + 30s));
}
