#include "relay/assigned_daemons.h"
#include "relay/statement_relay.h"
#include "support/booking_desk.h"
#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// A relay with what it has sent and released, and the connections on which it has run statements.
struct observed_relay {
    explicit observed_relay(std::uint64_t incarnation)
        : relay({.send = [this](const std::string&, const peer_message& message) { sent.push_back(message); },
                 .run =
                     [this](const task_request& request, instant) {
                         requests.push_back(request);
                         return task_number{requests.size()};
                     },
                 .accepts = [] { return true; },
                 .target = [](const task_request&) { return std::string{}; },
                 .cancel = [this](task_number task, instant) { cancelled.push_back(task); },
                 .release = [this](connection_number connection, instant) { released.push_back(connection); },
                 .finished = [this](const task_request&, const task_outcome&, instant) { ++finished; },
                 .connection_lost = [this](connection_number, instant) { ++lost; },
                 .log =
                     [](const std::string&, const std::string&) {
                     }},
                incarnation)
    {
    }

    /// Runs a peer's statement, which leaves a transaction open on the connection. Returns the transaction's name.
    std::uint64_t run_open(const std::string& peer, std::uint64_t number, std::uint64_t transaction,
                           connection_number connection, instant now = {})
    {
        receive(peer, number, transaction);
        relay.finished(requests.back(), task_outcome{{.state = transaction_state::open, .connection = connection}},
                       now);
        return std::get<relayed_outcome>(sent.back())->transaction;
    }

    void receive(const std::string& peer, std::uint64_t number, std::uint64_t transaction)
    {
        const auto kind = transaction == 0 ? transaction_step::opens_transaction : transaction_step::in_transaction;
        relay.handle(peer,
                     relayed_statement{{.number = number,
                                        .request = task_request{{.matched_route = test_route(), .kind = kind}},
                                        .transaction = transaction}},
                     {});
    }

    /// Sends a statement of a transaction; `connection` is 0 for the first one.
    task_number submit(statement_verb verb, connection_number connection)
    {
        const auto kind = connection == 0 ? transaction_step::opens_transaction : transaction_step::in_transaction;
        return relay.submit("d1",
                            task_request{{.query = parsed_statement{{.verb = verb}},
                                          .matched_route = test_route(),
                                          .kind = kind,
                                          .connection = connection}},
                            {});
    }

    /// How many of the messages sent end the transaction.
    [[nodiscard]] std::size_t ends_of(std::uint64_t transaction) const
    {
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](const peer_message& each) {
            const auto* end = std::get_if<relayed_end>(&each);
            return end != nullptr && (*end)->transaction == transaction;
        }));
    }

    static route test_route() { return route{{.service = "ledger", .statement_timeout = 800ms}}; }

    std::vector<peer_message> sent;
    std::vector<task_request> requests;
    std::vector<task_number> cancelled;
    std::vector<connection_number> released;
    std::size_t finished = 0;
    std::size_t lost = 0;
    statement_relay relay; ///< Last, because its hooks use the other members.
};

/// Four daemons before members that accept eight connections each: one daemon relays to the three others.
gateway_simulation::options few_connections(std::uint64_t seed)
{
    return {.daemons = 4, .max_connections = 8, .seed = seed};
}

std::size_t relaying_daemon(const gateway_simulation::options& chosen)
{
    std::vector<relay_candidate> daemons;
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        daemons.push_back(relay_candidate{{.name = "d" + std::to_string(i), .data_center = "dc"}});
    }
    const auto assigned = assigned_daemons({{"ledger", chosen.max_connections}}, daemons).at("ledger");
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        if (std::find(assigned.begin(), assigned.end(), "d" + std::to_string(i)) == assigned.end()) {
            return i;
        }
    }
    FAIL("each daemon is assigned");
    return 0;
}

/// Booking desks on the daemon that relays.
struct relayed_desks {
    explicit relayed_desks(std::uint64_t seed)
        : chosen(few_connections(seed)), simulation(chosen), relaying(relaying_daemon(chosen)), random(seed)
    {
        for (std::uint64_t i = 0; i < 6; ++i) {
            desks.emplace_back(simulation, relaying, "desk" + std::to_string(i), 100 * seed + i);
        }
    }

    void run(duration length)
    {
        for (const instant end = simulation.now() + length; simulation.now() < end;) {
            for (booking_desk& desk : desks) {
                desk.step();
            }
            simulation.run(2ms);
        }
    }

    void run_between(std::uint64_t least_ms, std::uint64_t most_ms)
    {
        run(std::chrono::milliseconds(least_ms + random() % (most_ms - least_ms)));
    }

    /// Holds back what the relaying daemon and the others send each other, in one direction.
    void hold(bool answers, bool held)
    {
        for (std::size_t other = 0; other < chosen.daemons; ++other) {
            if (other != relaying) {
                simulation.hold_peer_messages(answers ? other : relaying, answers ? relaying : other, held);
            }
        }
    }

    void check()
    {
        run(2s);
        CHECK(simulation.promotions().empty());
        const auto broken = broken_promises(simulation, desks);
        INFO(broken.size() << " broken, the first: " << (broken.empty() ? "" : broken.front()));
        CHECK(broken.empty());
    }

    gateway_simulation::options chosen;
    gateway_simulation simulation;
    std::size_t relaying;
    std::mt19937_64 random;
    std::vector<booking_desk> desks;
};

} // namespace

// Guards against a transaction whose connection stays in use for good because another daemon named it.
TEST_CASE("a statement that names the transaction of another daemon leaves it alone", "[relay]")
{
    observed_relay subject(1);
    const std::uint64_t name = subject.run_open("d1", 1, 0, 5);
    subject.receive("d2", 1, name);
    CHECK(subject.requests.back()->connection == 0);
    subject.receive("d1", 2, name);
    CHECK(subject.requests.back()->connection == 5);
}

// Guards against the statements of one caller's transaction that run in another one, after answers came too late.
TEST_CASE("relayed transactions stay apart while links between daemons hold back one direction", "[relay]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const bool answers : {true, false}) {
            INFO("seed " << seed << (answers ? ", answers held" : ", statements held"));
            relayed_desks subject(seed);
            for (int cut = 0; cut < 6; ++cut) {
                subject.run_between(300, 1500);
                subject.hold(answers, true);
                subject.run_between(1, 1300); // TCP reports a connection whose data is not acknowledged for longer.
                subject.hold(answers, false);
            }
            subject.check();
        }
    }
}

// Guards against the statements of one caller's transaction that run in another one, after the daemon that ran it had
// rolled it back for a lost connection that the relaying daemon did not notice.
TEST_CASE("relayed transactions stay apart while daemons alone take a connection between them for lost", "[relay]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        relayed_desks subject(seed);
        for (int loss = 0; loss < 12; ++loss) {
            subject.run_between(100, 700);
            subject.simulation.lose_peers_alone(subject.random() % subject.chosen.daemons);
        }
        subject.check();
    }
}

// Guards against the end of a transaction that rolls back the next one on its connection. Daemons of the release before
// name a transaction when they give up one of its statements, and once more when the answer comes.
TEST_CASE("an end that arrives twice does not end the next transaction on the connection", "[relay]")
{
    observed_relay subject(1);
    const std::uint64_t first = subject.run_open("d1", 1, 0, 5);
    CHECK(subject.run_open("d1", 2, first, 5) == first);
    subject.relay.handle("d1", relayed_end{{.transaction = first}}, {});
    CHECK(subject.released == std::vector<connection_number>{5});
    const std::uint64_t second = subject.run_open("d1", 3, 0, 5);
    subject.relay.handle("d1", relayed_end{{.transaction = first}}, {});
    CHECK(subject.released.size() == 1);
    subject.receive("d1", 4, first);
    CHECK(subject.requests.back()->connection == 0);
    subject.receive("d1", 5, second);
    CHECK(subject.requests.back()->connection == 5);
}

// Guards against statements of a transaction that ended with a daemon's former run and that get into one of its new
// run.
TEST_CASE("a restarted daemon does not take up the transactions of its former run", "[relay]")
{
    observed_relay former(1);
    observed_relay restarted(2);
    const std::uint64_t name = former.run_open("d1", 1, 0, 5);
    restarted.run_open("d1", 2, 0, 5);
    restarted.receive("d1", 3, name);
    CHECK(restarted.requests.back()->connection == 0);
    restarted.relay.handle("d1", relayed_end{{.transaction = name}}, {});
    CHECK(restarted.released.empty());
}

// Guards against the end of a transaction that a peer of the release before has already begun on the same connection:
// such a peer names transactions by connection.
TEST_CASE("a daemon that gives up a statement names no transaction that may have ended", "[relay]")
{
    observed_relay subject(1);
    constexpr std::uint64_t reused = 5;
    const auto open = [&] {
        const task_number first = subject.submit(statement_verb::write, 0);
        subject.relay.handle(
            "d1",
            relayed_outcome{
                {.number = first, .outcome = task_outcome{{.state = transaction_state::open}}, .transaction = reused}},
            {});
        return first;
    };
    const connection_number remote = open() + 1; // The relay numbers statements and connections in one sequence.
    REQUIRE(subject.relay.peer_of(remote) == "d1");
    const task_number commit = subject.submit(statement_verb::commit, remote);
    subject.relay.tick(instant{} + 900ms);
    CHECK(subject.finished == 2);
    open();
    subject.relay.handle("d1", relayed_outcome{{.number = commit}}, {});
    CHECK(subject.ends_of(reused) == 0);
}

// Guards against a peer's connection that stays in a transaction of which the caller has been told that it is lost.
TEST_CASE("a daemon that gives up a statement ends the open transaction when the answer arrives", "[relay]")
{
    for (const bool caller_left : {false, true}) {
        INFO((caller_left ? "the caller has left" : "the time is over"));
        observed_relay subject(1);
        const task_number first = subject.submit(statement_verb::write, 0);
        if (caller_left) {
            subject.relay.cancel(first);
        } else {
            subject.relay.tick(instant{} + 900ms);
        }
        subject.relay.handle("d1", relayed_outcome{{.number = first, .transaction = 5}}, {});
        CHECK(subject.ends_of(5) == 1);
    }
}

// Guards against a connection that stays in use for good because the answer that names its transaction was lost.
TEST_CASE("the number of an answered statement ends the transaction that it left open", "[relay]")
{
    observed_relay subject(1);
    const std::uint64_t name = subject.run_open("d1", 1, 0, 5);
    subject.run_open("d1", 2, name, 5);
    subject.relay.handle("d1", relayed_end{{.number = 1}}, {}); // Not the last one.
    subject.relay.handle("d2", relayed_end{{.number = 2}}, {}); // Another daemon's.
    CHECK(subject.released.empty());
    subject.relay.handle("d1", relayed_end{{.number = 2}}, {});
    CHECK(subject.released == std::vector<connection_number>{5});
    subject.relay.handle("d1", relayed_end{{.transaction = name}}, {});
    CHECK(subject.released.size() == 1);
}

// Guards against a daemon that remembers the transactions of callers that left during a statement.
TEST_CASE("a transaction whose caller left during a statement is forgotten", "[relay]")
{
    observed_relay subject(1);
    const task_number first = subject.submit(statement_verb::write, 0);
    subject.relay.handle(
        "d1",
        relayed_outcome{
            {.number = first, .outcome = task_outcome{{.state = transaction_state::open}}, .transaction = 9}},
        {});
    const connection_number remote = first + 1;
    REQUIRE(subject.relay.peer_of(remote) == "d1");
    subject.relay.cancel(subject.submit(statement_verb::write, remote));
    CHECK(subject.relay.peer_of(remote).empty());
}

// Guards against connections that stay in use for good because the peer's messages about their transactions were lost.
TEST_CASE("a daemon ends a relayed transaction that its peer should have ended", "[relay]")
{
    observed_relay subject(1);
    const std::uint64_t first = subject.run_open("d1", 1, 0, 5, instant{} + 1s);
    subject.run_open("d1", 2, 0, 6, instant{} + 2s);
    subject.relay.end_overdue_transactions(duration{}, instant{} + 60s);
    subject.relay.end_overdue_transactions(2s, instant{} + 6s);
    CHECK(subject.released.empty());
    subject.relay.end_overdue_transactions(2s, instant{} + 6s + 1ms);
    CHECK(subject.released == std::vector<connection_number>{5});
    const auto told = std::get<relayed_outcome>(subject.sent.back());
    CHECK(told->number == 0);
    CHECK(told->transaction == first);
}

// Guards against members whose few connections are all taken after only one of two daemons noticed a lost connection.
TEST_CASE("no connection stays in use after a daemon alone noticed the loss of the connection to a peer", "[relay]")
{
    const auto chosen = few_connections(1);
    gateway_simulation simulation(chosen);
    const std::size_t relaying = relaying_daemon(chosen);
    const session_number session = simulation.open(relaying, "fresh");
    REQUIRE(simulation.execute(relaying, session, "BEGIN"));
    REQUIRE(simulation.execute(relaying, session, "WRITE x"));
    REQUIRE(simulation.connections_in_use(simulation.leader()) == 1);
    simulation.lose_peers_alone(relaying);
    const auto reply = simulation.execute(relaying, session, "COMMIT");
    REQUIRE(reply);
    REQUIRE((*reply)->failure);
    CHECK((*(*reply)->failure)->kind == error_kind::transaction_lost);
    simulation.run(8s);
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
    CHECK(simulation.writes().empty());
}
