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
struct transaction_bench {
    group_view view{{.group = "g", .member_count = 1}};
    std::set<connection_number> idle{1, 2};
    std::vector<connection_number> discarded;
    std::vector<upstream_command> sent;
    std::map<request_handle, caller_answer> answers;
    std::vector<caller_request> commits;
    std::vector<caller_request> resolved;
    std::vector<connection_number> committed_on;
    std::uint64_t last_number = 100;
    std::uint64_t last_secret = 0;
    request_handle last_handle = 0;
    instant now{1h};
    transaction_engine engine;

    transaction_bench() : engine(make()) { observe(1); }

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
             .secure_random = [this] { return ++last_secret; },
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

    void lose(connection_number connection)
    {
        engine.apply(upstream_event{{.kind = upstream_event_kind::failed, .connection = connection}}, now);
    }

    std::string open(duration deadline = 10s)
    {
        const request_handle handle = begin(deadline);
        reply(sent.back(), member_verdict::done);
        return answers.at(handle)->transaction;
    }

    void pass(duration time)
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
    transaction_bench bench;
    const std::string first = bench.open();
    const std::string second = bench.open();
    REQUIRE(first.size() == 32);
    REQUIRE(first != second);
    const auto one = bench.request(first, run, "set a 1");
    const auto first_call = bench.sent.back();
    const auto two = bench.request(second, run, "set b 2");
    const auto second_call = bench.sent.back();
    CHECK(first_call->connection != second_call->connection);
    CHECK(first_call->call->statement == "set a 1");
    bench.reply(second_call, member_verdict::done, "\"2\"");
    CHECK(bench.answers.count(one) == 0);
    CHECK(bench.answers.at(two)->result == "\"2\"");
    bench.reply(first_call, member_verdict::done, "\"1\"");
    CHECK(bench.answers.at(one)->result == "\"1\"");
    const auto third = bench.begin();
    CHECK(bench.answers.count(third) == 0); // No idle connection is left, and connections in use are not shared.
    bench.request(first, rollback);
    bench.reply(bench.sent.back(), member_verdict::done);
    bench.engine.serve_waiting(member_key{{.group = "g", .member = "a"}}, bench.now);
    CHECK(bench.sent.back()->call->operation == member_operation::begin);
    CHECK(bench.sent.back()->connection == first_call->connection);
}

TEST_CASE("a transaction runs one statement at a time", "[transaction]")
{
    transaction_bench bench;
    const std::string id = bench.open();
    const auto running = bench.request(id, run, "set a 1");
    const auto call = bench.sent.back();
    const std::size_t calls = bench.sent.size();
    for (const caller_operation operation : {run, commit, rollback}) {
        CHECK(bench.failure(bench.request(id, operation)) == error_kind::limit_reached);
    }
    CHECK(bench.sent.size() == calls);
    CHECK(bench.commits.empty());
    auto late = with(call, [](upstream_command_fields& fields) { fields.exchange -= 1; });
    bench.reply(late, member_verdict::done, "\"late\"");
    CHECK(bench.answers.count(running) == 0);
    bench.reply(call, member_verdict::conflict, "\"taken\"");
    CHECK(bench.failure(running) == error_kind::conflict);
    CHECK(bench.answers.at(running)->result == "\"taken\"");
    CHECK(bench.request(id, run, "set a 2") > 0);
    CHECK(bench.sent.size() == calls + 1);
}

TEST_CASE("a commit is handed over with its connection exactly once", "[transaction]")
{
    // Guards against a second commit on a connection that already serves another caller.
    transaction_bench bench;
    const std::string id = bench.open();
    const connection_number connection = bench.sent.back()->connection;
    bench.request(id, commit);
    REQUIRE(bench.commits.size() == 1);
    CHECK(bench.commits.front()->tenant == "t");
    CHECK(bench.commits.front()->group == "g");
    CHECK(bench.commits.front()->deadline < instant::max());
    CHECK(bench.committed_on == std::vector{connection});
    CHECK(bench.engine.in_progress() == 0);
    bench.request(id, commit);
    CHECK(bench.commits.size() == 1);
    CHECK(bench.resolved.size() == 1);
    CHECK(bench.failure(bench.request(id, run, "set a 1")) == error_kind::unknown_transaction);
    bench.lose(connection);
    bench.observe(2);
    CHECK(bench.discarded.empty());
}

TEST_CASE("a statement with an unknown id has not run, but a commit with it may have", "[transaction]")
{
    // Guards against "not run" for a commit that another daemon has carried out.
    transaction_bench bench;
    CHECK(bench.failure(bench.request("0123", run, "set a 1")) == error_kind::unknown_transaction);
    CHECK(bench.failure(bench.request("0123", rollback)) == error_kind::unknown_transaction);
    const auto handle = bench.request("0123", commit);
    CHECK(bench.answers.count(handle) == 0);
    CHECK(bench.resolved.size() == 1);
}

TEST_CASE("a transaction is rolled back at its deadline or its idle limit", "[transaction]")
{
    struct bound {
        duration deadline;
        duration wait;
    };
    for (const bound& each : {bound{10s, 5s}, bound{2s, 2s}}) {
        transaction_bench bench;
        const std::string id = bench.open(each.deadline);
        bench.pass(each.wait - 1ms);
        CHECK(bench.sent.back()->call->operation == member_operation::begin);
        bench.pass(1ms);
        REQUIRE(bench.sent.back()->call->operation == member_operation::rollback);
        CHECK(bench.failure(bench.request(id, run, "set a 1")) == error_kind::transaction_lost);
        bench.reply(bench.sent.back(), member_verdict::done);
        CHECK(bench.idle.size() == 2);
        CHECK(bench.discarded.empty());
        CHECK(bench.failure(bench.request(id, commit)) == error_kind::transaction_lost);
        CHECK(bench.commits.empty());
        CHECK(bench.engine.in_progress() == 0);
        bench.pass(10s);
        CHECK(bench.failure(bench.request(id, run)) == error_kind::unknown_transaction);
    }
}

TEST_CASE("a transaction with regular statements outlives the idle limit", "[transaction]")
{
    transaction_bench bench;
    const std::string id = bench.open(20s);
    for (int i = 0; i < 3; ++i) {
        bench.pass(4s);
        const auto handle = bench.request(id, run, "get a");
        bench.reply(bench.sent.back(), member_verdict::done, "1");
        CHECK_FALSE(bench.failure(handle));
    }
}

TEST_CASE("a transaction is lost and its connection closed if an exchange on it fails", "[transaction]")
{
    // Guards against reusing a connection on which a late answer may reach the wrong caller.
    struct doubt {
        const char* name;
        std::function<void(transaction_bench&, const upstream_command&)> happen;
    };
    const auto doubts = std::vector<doubt>{
        {"connection lost",
         [](transaction_bench& bench, const auto& call) {
             bench.lose(call->connection);
         }},
        {"deadline",
         [](transaction_bench& bench, const auto&) {
             bench.pass(10s);
         }},
        {"change of term",
         [](transaction_bench& bench, const auto&) {
             bench.observe(2);
         }},
        {"wrong term",
         [](transaction_bench& bench, const auto& call) {
             bench.reply(call, member_verdict::wrong_term);
         }},
        {"no transaction",
         [](transaction_bench& bench, const auto& call) {
             bench.reply(call, member_verdict::no_transaction);
         }},
        {"malformed answer",
         [](transaction_bench& bench, const auto& call) {
             bench.reply(call, member_verdict::malformed);
         }},
    };
    for (const doubt& each : doubts) {
        INFO(each.name);
        transaction_bench bench;
        const std::string id = bench.open();
        const auto running = bench.request(id, run, "set a 1");
        const auto call = bench.sent.back();
        each.happen(bench, call);
        CHECK(bench.failure(running) == error_kind::transaction_lost);
        CHECK(bench.discarded == std::vector{call->connection});
        CHECK(bench.idle.size() == 1);
        CHECK(bench.failure(bench.request(id, commit)) == error_kind::transaction_lost);
        CHECK(bench.commits.empty());
    }
}

TEST_CASE("an idle transaction is lost if its term or its connection ends", "[transaction]")
{
    for (const bool by_term : {true, false}) {
        transaction_bench bench;
        const std::string id = bench.open();
        if (by_term) {
            bench.observe(2);
        } else {
            bench.lose(bench.sent.back()->connection);
        }
        CHECK(bench.failure(bench.request(id, commit)) == error_kind::transaction_lost);
        CHECK(bench.discarded.size() == 1);
        CHECK(bench.commits.empty());
    }
}

TEST_CASE("a begin that fails leaves no transaction in progress", "[transaction]")
{
    transaction_bench bench;
    const auto lost = bench.begin();
    bench.lose(bench.sent.back()->connection);
    CHECK(bench.failure(lost) == error_kind::connect_failed);
    const auto refused = bench.begin();
    bench.reply(bench.sent.back(), member_verdict::no_slot);
    CHECK(bench.failure(refused) == error_kind::overloaded);
    CHECK(bench.idle.size() == 1);
    bench.idle.clear();
    const auto late = bench.begin(1s);
    bench.pass(1s);
    CHECK(bench.failure(late) == error_kind::deadline_before_send);
    bench.view = group_view{{.group = "g", .member_count = 1}};
    CHECK(bench.failure(bench.begin()) == error_kind::no_primary);
    CHECK(bench.engine.in_progress() == 0);
}
