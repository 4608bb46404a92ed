#include "relay/statement_relay.h"

#include <catch2/catch.hpp>

#include <algorithm>
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
                 .target = [](const std::string&) { return std::string{}; },
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
