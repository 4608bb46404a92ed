#include "caller_session/session_table.h"
#include "platform/caller_codec.h"

#include <catch2/catch.hpp>

#include <limits>
#include <memory>
#include <string>
#include <vector>

using namespace citronfall;

namespace {

constexpr task_number submitted_task = 7;

/// A session table whose statements are never answered.
struct observed_sessions {
    explicit observed_sessions(std::size_t max_kept_bytes = std::numeric_limits<std::size_t>::max())
    {
        auto made = session_table::make(
            {.reply = [this](const caller_reply& reply) { replies.push_back(reply); },
             .find_route = [this](const std::string&) { return &only_route; },
             .refuse_start = [this](instant) { return refusal; },
             .submit =
                 [this](const task_request&, instant) {
                     ++submitted;
                     return submitted_task;
                 },
             .cancel = [](task_number, instant) {},
             .release = [](connection_number, instant) {},
             .locate =
                 [](task_number task) {
                     return task == submitted_task
                                ? std::optional(statement_location{{.stage = statement_stage::running, .member = "m1"}})
                                : std::nullopt;
                 },
             .peer_of = [](connection_number) { return std::string(); },
             .answered = [](const route&, const task_outcome&, duration) {},
             .ended = [this](const session_end& end) { ends.push_back(end); },
             .log = [this](const std::string& event,
                           const std::string& fields) { lines.push_back(event + " " + fields); },
             .max_kept_bytes = max_kept_bytes});
        REQUIRE(ok(made));
        table = take(std::move(made));
    }

    void connect(session_number session) const
    {
        table->handle(caller_connected{{.session = session, .database = "own"}}, {});
    }

    void send(session_number session, const std::string& id, const std::string& text) const
    {
        table->handle(platform::caller_codec::decode(session, true, "QUERY " + id + " " + text), {});
    }

    route only_route{{.name = "own", .database = "own", .service = "ledger"}};
    std::optional<error_kind> refusal;
    std::unique_ptr<session_table> table;
    std::vector<caller_reply> replies;
    std::size_t submitted = 0;
    std::vector<session_end> ends;
    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("the end of a session reports every unanswered statement and where it was", "[caller_session]")
{
    observed_sessions sessions;
    sessions.connect(1);
    sessions.send(1, "q1", "WRITE x y");
    sessions.send(1, "q2", "READ x");
    sessions.table->handle(
        caller_disconnected{{.session = 1, .reason = session_end_reason::write_failed, .unsent_bytes = 70}}, {});
    REQUIRE(sessions.ends.size() == 1);
    CHECK(log_fields(sessions.ends.front()) ==
          "session=1 database=own reason=write_failed transaction=none unsent_bytes=70 unread_bytes=0 unanswered=2 "
          "id=q1 stage=running member=m1");
    REQUIRE(sessions.ends.front()->pending.size() == 2);
    CHECK(log_fields(sessions.ends.front()->pending.back()) == "id=q2 stage=pipelined");
}

TEST_CASE("a statement of a session that has ended is logged with its id", "[caller_session]")
{
    observed_sessions sessions;
    sessions.connect(1);
    sessions.table->close_when_idle(1);
    sessions.table->handle(caller_disconnected{{.session = 1, .reason = session_end_reason::closed_by_daemon}}, {});
    sessions.send(1, "q1", "READ x");
    REQUIRE(sessions.ends.size() == 1);
    CHECK(sessions.ends.front()->reason == session_end_reason::shutdown);
    REQUIRE(sessions.lines.size() == 1);
    CHECK(sessions.lines.front() == "statement_dropped id=q1 session=1 reason=no_session");
}

TEST_CASE("a connection that breaks after the end of its session is logged with its lost bytes", "[caller_session]")
{
    observed_sessions sessions;
    sessions.table->handle(
        caller_disconnected{{.session = 4, .reason = session_end_reason::closed_by_daemon, .unread_bytes = 30}}, {});
    REQUIRE(sessions.lines.size() == 1);
    CHECK(sessions.lines.front() ==
          "connection_ended session=4 reason=closed_by_daemon unsent_bytes=0 unread_bytes=30");
}

TEST_CASE("sessions that are left at the end of the process are reported once", "[caller_session]")
{
    observed_sessions sessions;
    sessions.connect(1);
    sessions.connect(2);
    sessions.send(2, "q1", "READ x");
    sessions.table->report_process_end();
    REQUIRE(sessions.ends.size() == 2);
    CHECK(sessions.ends.back()->reason == session_end_reason::process_ended);
    CHECK(sessions.ends.back()->pending.size() == 1);
}

namespace {

/// A session table whose statements stay unanswered; keeps the replies and the ids of the statements that it runs.
struct running_sessions {
    running_sessions()
    {
        auto made = session_table::make({.reply = [this](const caller_reply& reply) { replies.push_back(reply); },
                                         .find_route = [this](const std::string&) { return &only_route; },
                                         .refuse_start = [](instant) { return std::optional<error_kind>(); },
                                         .submit =
                                             [this](const task_request& request, instant) {
                                                 submitted.push_back(request->request_id);
                                                 return submitted_task;
                                             },
                                         .cancel = [](task_number, instant) {},
                                         .expire = [](task_number, instant) {},
                                         .release = [](connection_number, instant) {},
                                         .locate = [](task_number) { return std::optional<statement_location>(); },
                                         .peer_of = [](connection_number) { return std::string(); },
                                         .answered = [](const route&, const task_outcome&, duration) {},
                                         .ended = [](const session_end&) {},
                                         .log =
                                             [](const std::string&, const std::string&) {
                                             }});
        REQUIRE(ok(made));
        table = take(std::move(made));
        table->handle(caller_connected{{.session = 1, .database = "own"}}, {});
    }

    void send(const std::string& id, const std::string& text, bool after_close_notice = false) const
    {
        const auto event = platform::caller_codec::decode(1, true, "QUERY " + id + " " + text);
        table->handle(with(std::get<caller_statement>(event),
                           [&](caller_statement_fields& fields) { fields.after_close_notice = after_close_notice; }),
                      {});
    }

    /// Errors of the answers so far.
    [[nodiscard]] std::vector<error_kind> failures() const
    {
        std::vector<error_kind> found;
        for (const caller_reply& reply : replies) {
            const auto* answer = std::get_if<statement_reply>(&reply);
            if (answer != nullptr && (*answer)->failure) {
                found.push_back((*(*answer)->failure)->kind);
            }
        }
        return found;
    }

    /// The offers to close without an answer so far.
    [[nodiscard]] std::vector<session_close> closes() const
    {
        std::vector<session_close> found;
        for (const caller_reply& reply : replies) {
            if (const auto* close = std::get_if<session_close>(&reply)) {
                found.push_back(*close);
            }
        }
        return found;
    }

    route only_route{{.name = "own", .database = "own", .service = "ledger"}};
    std::unique_ptr<session_table> table;
    std::vector<caller_reply> replies;
    std::vector<std::string> submitted;
};

} // namespace

TEST_CASE("a write pipelined behind the BEGIN that crossed the notice of a close is not committed on its own",
          "[caller_session]")
{
    running_sessions sessions;
    sessions.table->close_when_idle(1);
    sessions.send("q1", "BEGIN", true);
    sessions.send("q2", "WRITE x y");
    CHECK(sessions.submitted.empty());
    CHECK(sessions.failures() == std::vector{error_kind::leaving, error_kind::leaving});
}

TEST_CASE("a write pipelined behind the one that crossed the end of its transaction is not committed on its own",
          "[caller_session]")
{
    running_sessions sessions;
    sessions.send("q1", "BEGIN");
    sessions.table->end_transaction(1, {});
    sessions.send("q2", "WRITE x y", true);
    sessions.send("q3", "WRITE x z");
    sessions.send("q4", "COMMIT");
    CHECK(sessions.submitted.empty());
}

TEST_CASE("no statement of an open transaction starts after the end of the grace period", "[caller_session]")
{
    running_sessions sessions;
    sessions.send("q1", "BEGIN");
    sessions.table->end_statements(1, {});
    sessions.send("q2", "WRITE x y");
    CHECK(sessions.submitted.empty());
    CHECK(sessions.failures() == std::vector{error_kind::transaction_lost});
}

TEST_CASE("the close of a session with too many statements does not promise that a running write is not kept",
          "[caller_session]")
{
    running_sessions sessions;
    for (int i = 0; sessions.closes().empty() && i < 100; ++i) {
        sessions.send("q" + std::to_string(i), "WRITE x y");
    }
    REQUIRE(sessions.submitted.size() == 1);
    REQUIRE(sessions.closes().size() == 1);
    CHECK_FALSE(sessions.closes().front()->failure);
}

// Guards against refusing the callers that connect within the moments in which a daemon that was restarted learns its
// configuration: of three attempts each, they lost one.
TEST_CASE("a session that starts before the daemon is ready waits for it", "[caller_session]")
{
    using namespace std::chrono_literals;
    observed_sessions observed;
    const instant start{100s};
    observed.refusal = error_kind::not_ready;
    observed.table->handle(caller_connected{{.session = 1, .database = "own"}}, start);
    observed.table->handle(caller_connected{{.session = 2, .database = "own"}}, start);
    observed.send(1, "q1", "READ x");
    observed.table->handle(caller_disconnected{{.session = 2}}, start);
    observed.table->tick(0s, start + 500ms);
    CHECK(observed.replies.empty());
    observed.refusal.reset();
    observed.table->admit_delayed_starts(start + 600ms);
    REQUIRE(observed.replies.size() == 1);
    CHECK(std::holds_alternative<session_ready>(observed.replies.front()));
    CHECK(observed.submitted == 1);
    CHECK(observed.table->size() == 1);
}

TEST_CASE("a session is refused if the daemon does not become ready in time", "[caller_session]")
{
    using namespace std::chrono_literals;
    observed_sessions observed;
    const instant start{100s};
    observed.refusal = error_kind::not_ready;
    observed.table->handle(caller_connected{{.session = 1, .database = "own"}}, start);
    observed.table->tick(0s, start + 1s);
    REQUIRE(observed.replies.size() == 1);
    const auto* close = std::get_if<session_close>(&observed.replies.front());
    REQUIRE(close != nullptr);
    REQUIRE((*close)->failure);
    CHECK((*(*close)->failure)->kind == error_kind::not_ready);
    // A daemon that shuts down refuses at once what waited.
    observed.table->handle(caller_connected{{.session = 2, .database = "own"}}, start);
    observed.refusal = error_kind::leaving;
    observed.table->tick(0s, start + 100ms);
    CHECK(observed.replies.size() == 2);
}

TEST_CASE("the session that keeps the most gives way if all keep too much", "[caller_session]")
{
    // Guards against an ordinary session that is refused or closed because another one keeps too much.
    constexpr std::size_t limit = 64 * 1024;
    observed_sessions sessions(limit);
    const auto failures = [&sessions](session_number number) {
        std::vector<error_kind> found;
        for (const caller_reply& reply : sessions.replies) {
            const auto* answer = std::get_if<statement_reply>(&reply);
            if (answer != nullptr && (*answer)->session == number && (*answer)->failure) {
                found.push_back((*(*answer)->failure)->kind);
            }
        }
        return found;
    };
    sessions.connect(1);
    sessions.connect(2);
    sessions.send(1, "q1", "SET small x");
    const std::size_t small = sessions.table->kept_bytes();
    sessions.send(2, "q2", "SET big " + std::string(limit / 8, 'x'));
    sessions.send(2, "q3", "PREPARE big READ " + std::string(limit / 8, 'x')); // It alone is over the limit.
    CHECK(failures(2) == std::vector{error_kind::overloaded});
    CHECK(sessions.ends.empty());
    sessions.send(1, "q4", "SET medium " + std::string(limit / 8 - 150, 'x')); // Both together are.
    CHECK(failures(1).empty());
    REQUIRE(sessions.ends.size() == 1);
    CHECK(sessions.ends.front()->session == 2);
    CHECK(sessions.ends.front()->reason == session_end_reason::state_limit);
    CHECK(sessions.table->kept_bytes() > small);
}

TEST_CASE("a session is charged only for what it still keeps", "[caller_session]")
{
    // Guards against a long session that is refused in the end although it replaces and drops what it kept.
    constexpr std::size_t limit = 64 * 1024;
    observed_sessions sessions(limit);
    sessions.connect(1);
    const std::size_t bare = sessions.table->kept_bytes();
    const std::string text(limit / 16, 'x');
    for (int i = 0; i < 20; ++i) {
        sessions.send(1, "q", "SET v " + text);
        sessions.send(1, "q", "PREPARE p READ " + text);
        sessions.send(1, "q", "DEALLOCATE p");
    }
    sessions.send(1, "q", "SET v x");
    for (const caller_reply& reply : sessions.replies) {
        const auto* answer = std::get_if<statement_reply>(&reply);
        CHECK((answer == nullptr || !(*answer)->failure));
    }
    CHECK(sessions.table->kept_bytes() < bare + 1024);
    sessions.table->handle(caller_disconnected{{.session = 1}}, {});
    CHECK(sessions.table->kept_bytes() == 0);
}
