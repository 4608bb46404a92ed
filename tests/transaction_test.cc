#include "transaction/transaction_engine.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

/// A transaction engine with hooks that record their calls; the test supplies events and time.
struct transaction_fixture {
    group_view view{{.group = "g", .member_count = 1}};
    std::set<connection_number> idle{1, 2};
    std::vector<connection_number> discarded;
    std::vector<upstream_command> sent;
    std::map<request_handle, caller_answer> answers;
    std::vector<caller_request> commits;
    std::vector<caller_request> resolved;
    std::vector<connection_number> committed_on;
    std::uint64_t last_number = 100;
    std::uint64_t last_random = 0;
    request_handle last_handle = 0;
    instant now{1h};
    transaction_engine engine;

    transaction_fixture() : engine(make()) { observe(1); }

    transaction_engine make()
    {
        return take(transaction_engine::make(
            {.view = [this](const std::string&) -> const group_view& { return view; },
             .acquire = [this](const member_key&) -> std::optional<connection_number> {
                 return idle.empty() ? std::nullopt : std::optional(idle.extract(idle.begin()).value());
             },
             .ensure_connections = [](const member_key&, std::size_t, instant) {},
             .release = [this](connection_number connection) { idle.insert(connection); },
             .discard = [this](connection_number connection) { discarded.push_back(connection); },
             .next_number = [this] { return ++last_number; },
             .secure_random = [this] { return ++last_random; },
             .send = [this](const upstream_command& command) { sent.push_back(command); },
             .answer = [this](const caller_answer& answer) { answers.insert_or_assign(answer->handle, answer); },
             .commit =
                 [this](const caller_request& request, const class_config&, const member_key&,
                        connection_number connection, instant) {
                     commits.push_back(request);
                     committed_on.push_back(connection);
                 },
             .resolve_commit =
                 [this](const caller_request& request, const class_config*, instant) {
                     resolved.push_back(request);
                 }}));
    }

    void observe(term_number term)
    {
        now += 1ms;
        view = view.observe(status_observation{
            {.status = member_status{{.member = "a", .role = member_role::primary, .term = term}}, .sent_at = now}});
        engine.evidence_changed("g", now);
    }

    request_handle begin(duration deadline = 10s)
    {
        engine.begin(caller_request{{.handle = ++last_handle,
                                     .operation = caller_operation::begin,
                                     .tenant = "t",
                                     .class_name = "c",
                                     .group = "g",
                                     .deadline = now + deadline}},
                     class_config{{.tenant = "t", .name = "c"}}, now);
        return last_handle;
    }

    request_handle request(const std::string& id, caller_operation operation, const std::string& statement = "")
    {
        engine.handle(caller_request{{.handle = ++last_handle,
                                      .operation = operation,
                                      .statement = statement,
                                      .request_id = operation == caller_operation::commit ? "commit-1" : "",
                                      .deadline = instant::max(),
                                      .transaction = id}},
                      now);
        return last_handle;
    }

    void reply(const upstream_command& command, member_verdict verdict, const std::string& result = "")
    {
        engine.apply(upstream_event{{.kind = upstream_event_kind::answered,
                                     .connection = command->connection,
                                     .exchange = command->exchange,
                                     .answer = member_answer{{.verdict = verdict, .term = 1, .result = result}}}},
                     now);
    }

    void fail_connection(connection_number connection)
    {
        engine.apply(upstream_event{{.kind = upstream_event_kind::failed, .connection = connection}}, now);
    }

    std::string open(duration deadline = 10s)
    {
        const request_handle handle = begin(deadline);
        reply(sent.back(), member_verdict::done);
        return answers.at(handle)->transaction;
    }

    void advance(duration time)
    {
        now += time;
        engine.tick(now);
    }

    [[nodiscard]] std::optional<error_kind> failure(request_handle handle) const { return answers.at(handle)->failure; }
};

constexpr auto run = caller_operation::transaction_statement;
constexpr auto commit = caller_operation::commit;
constexpr auto rollback = caller_operation::rollback;

} // namespace

TEST_CASE("each transaction keeps its own connection until its end", "[transaction]")
{
    // Guards against statements of two callers on one connection, which would mix their transactions.
    transaction_fixture fixture;
    const std::string first = fixture.open();
    const std::string second = fixture.open();
    REQUIRE(first.size() == 32);
    REQUIRE(first != second);
    const auto one = fixture.request(first, run, "set a 1");
    const auto first_call = fixture.sent.back();
    const auto two = fixture.request(second, run, "set b 2");
    const auto second_call = fixture.sent.back();
    CHECK(first_call->connection != second_call->connection);
    CHECK(first_call->call->statement == "set a 1");
    fixture.reply(second_call, member_verdict::done, "\"2\"");
    CHECK(fixture.answers.count(one) == 0);
    CHECK(fixture.answers.at(two)->result == "\"2\"");
    fixture.reply(first_call, member_verdict::done, "\"1\"");
    CHECK(fixture.answers.at(one)->result == "\"1\"");
    const auto third = fixture.begin();
    CHECK(fixture.answers.count(third) == 0); // No idle connection is left, and connections in use are not shared.
    fixture.request(first, rollback);
    fixture.reply(fixture.sent.back(), member_verdict::done);
    fixture.engine.serve_waiting(member_key{{.group = "g", .member = "a"}}, fixture.now);
    CHECK(fixture.sent.back()->call->operation == member_operation::begin);
    CHECK(fixture.sent.back()->connection == first_call->connection);
}

TEST_CASE("a transaction runs one statement at a time", "[transaction]")
{
    transaction_fixture fixture;
    const std::string id = fixture.open();
    const auto running = fixture.request(id, run, "set a 1");
    const auto call = fixture.sent.back();
    const std::size_t calls = fixture.sent.size();
    for (const caller_operation operation : {run, commit, rollback}) {
        CHECK(fixture.failure(fixture.request(id, operation)) == error_kind::limit_reached);
    }
    CHECK(fixture.sent.size() == calls);
    CHECK(fixture.commits.empty());
    auto late = with(call, [](upstream_command_fields& fields) { fields.exchange -= 1; });
    fixture.reply(late, member_verdict::done, "\"late\"");
    CHECK(fixture.answers.count(running) == 0);
    fixture.reply(call, member_verdict::conflict, "\"taken\"");
    CHECK(fixture.failure(running) == error_kind::conflict);
    CHECK(fixture.answers.at(running)->result == "\"taken\"");
    CHECK(fixture.request(id, run, "set a 2") > 0);
    CHECK(fixture.sent.size() == calls + 1);
}

TEST_CASE("a commit is handed over with its connection exactly once", "[transaction]")
{
    // Guards against a second commit on a connection that already serves another caller.
    transaction_fixture fixture;
    const std::string id = fixture.open();
    const connection_number connection = fixture.sent.back()->connection;
    fixture.request(id, commit);
    REQUIRE(fixture.commits.size() == 1);
    CHECK(fixture.commits.front()->tenant == "t");
    CHECK(fixture.commits.front()->group == "g");
    CHECK(fixture.commits.front()->deadline < instant::max());
    CHECK(fixture.committed_on == std::vector{connection});
    CHECK(fixture.engine.in_progress() == 0);
    fixture.request(id, commit);
    CHECK(fixture.commits.size() == 1);
    CHECK(fixture.resolved.size() == 1);
    CHECK(fixture.failure(fixture.request(id, run, "set a 1")) == error_kind::unknown_transaction);
    fixture.fail_connection(connection);
    fixture.observe(2);
    CHECK(fixture.discarded.empty());
}

TEST_CASE("a statement with an unknown id has not run, but a commit with it may have", "[transaction]")
{
    // Guards against "not run" for a commit that another daemon has carried out.
    transaction_fixture fixture;
    CHECK(fixture.failure(fixture.request("0123", run, "set a 1")) == error_kind::unknown_transaction);
    CHECK(fixture.failure(fixture.request("0123", rollback)) == error_kind::unknown_transaction);
    const auto handle = fixture.request("0123", commit);
    CHECK(fixture.answers.count(handle) == 0);
    CHECK(fixture.resolved.size() == 1);
}

TEST_CASE("a transaction is rolled back at its deadline or its idle limit", "[transaction]")
{
    struct bound {
        duration deadline;
        duration wait;
    };
    for (const bound& each : {bound{10s, 5s}, bound{2s, 2s}}) {
        transaction_fixture fixture;
        const std::string id = fixture.open(each.deadline);
        fixture.advance(each.wait - 1ms);
        CHECK(fixture.sent.back()->call->operation == member_operation::begin);
        fixture.advance(1ms);
        REQUIRE(fixture.sent.back()->call->operation == member_operation::rollback);
        CHECK(fixture.failure(fixture.request(id, run, "set a 1")) == error_kind::transaction_lost);
        fixture.reply(fixture.sent.back(), member_verdict::done);
        CHECK(fixture.idle.size() == 2);
        CHECK(fixture.discarded.empty());
        CHECK(fixture.failure(fixture.request(id, commit)) == error_kind::transaction_lost);
        CHECK(fixture.commits.empty());
        CHECK(fixture.engine.in_progress() == 0);
        fixture.advance(10s);
        CHECK(fixture.failure(fixture.request(id, run)) == error_kind::unknown_transaction);
    }
}

TEST_CASE("a transaction with regular statements outlives the idle limit", "[transaction]")
{
    transaction_fixture fixture;
    const std::string id = fixture.open(20s);
    for (int i = 0; i < 3; ++i) {
        fixture.advance(4s);
        const auto handle = fixture.request(id, run, "get a");
        fixture.reply(fixture.sent.back(), member_verdict::done, "1");
        CHECK_FALSE(fixture.failure(handle));
    }
}

TEST_CASE("a transaction is lost and its connection closed if an exchange on it fails", "[transaction]")
{
    // Guards against reusing a connection on which a late answer may reach the wrong caller.
    struct disruption {
        const char* name;
        std::function<void(transaction_fixture&, const upstream_command&)> inject;
    };
    const auto disruptions = std::vector<disruption>{
        {"connection lost",
         [](transaction_fixture& fixture, const auto& call) {
             fixture.fail_connection(call->connection);
         }},
        {"deadline",
         [](transaction_fixture& fixture, const auto&) {
             fixture.advance(10s);
         }},
        {"change of term",
         [](transaction_fixture& fixture, const auto&) {
             fixture.observe(2);
         }},
        {"wrong term",
         [](transaction_fixture& fixture, const auto& call) {
             fixture.reply(call, member_verdict::wrong_term);
         }},
        {"no transaction",
         [](transaction_fixture& fixture, const auto& call) {
             fixture.reply(call, member_verdict::no_transaction);
         }},
        {"malformed answer",
         [](transaction_fixture& fixture, const auto& call) {
             fixture.reply(call, member_verdict::malformed);
         }},
    };
    for (const disruption& each : disruptions) {
        INFO(each.name);
        transaction_fixture fixture;
        const std::string id = fixture.open();
        const auto running = fixture.request(id, run, "set a 1");
        const auto call = fixture.sent.back();
        each.inject(fixture, call);
        CHECK(fixture.failure(running) == error_kind::transaction_lost);
        CHECK(fixture.discarded == std::vector{call->connection});
        CHECK(fixture.idle.size() == 1);
        CHECK(fixture.failure(fixture.request(id, commit)) == error_kind::transaction_lost);
        CHECK(fixture.commits.empty());
    }
}

TEST_CASE("an idle transaction is lost if its term or its connection ends", "[transaction]")
{
    for (const bool by_term : {true, false}) {
        transaction_fixture fixture;
        const std::string id = fixture.open();
        if (by_term) {
            fixture.observe(2);
        } else {
            fixture.fail_connection(fixture.sent.back()->connection);
        }
        CHECK(fixture.failure(fixture.request(id, commit)) == error_kind::transaction_lost);
        CHECK(fixture.discarded.size() == 1);
        CHECK(fixture.commits.empty());
    }
}

TEST_CASE("a begin that fails leaves no transaction in progress", "[transaction]")
{
    transaction_fixture fixture;
    const auto lost = fixture.begin();
    fixture.fail_connection(fixture.sent.back()->connection);
    CHECK(fixture.failure(lost) == error_kind::connect_failed);
    const auto refused = fixture.begin();
    fixture.reply(fixture.sent.back(), member_verdict::no_slot);
    CHECK(fixture.failure(refused) == error_kind::overloaded);
    CHECK(fixture.idle.size() == 1);
    fixture.idle.clear();
    const auto late = fixture.begin(1s);
    fixture.advance(1s);
    CHECK(fixture.failure(late) == error_kind::deadline_before_send);
    fixture.view = group_view{{.group = "g", .member_count = 1}};
    CHECK(fixture.failure(fixture.begin()) == error_kind::no_primary);
    CHECK(fixture.engine.in_progress() == 0);
}
