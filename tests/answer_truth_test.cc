// What callers are told of their writes is true, whatever fails around them.

#include "citronfall/error_table.h"
#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// Callers that write through all daemons of a simulation, alone or in transactions of two writes, each to an item of
/// its own, and check what they were told.
class writing_callers {
public:
    explicit writing_callers(gateway_simulation& subject) : simulation_(subject)
    {
        for (std::size_t i = 0; i < simulation_.daemons(); ++i) {
            add(i);
            add(i);
        }
    }

    void run(duration length)
    {
        for (const instant end = simulation_.now() + length; simulation_.now() < end;) {
            for (caller& each : callers_) {
                advance(each);
            }
            simulation_.run(20ms);
        }
    }

    /// Runs until no answer is outstanding on a daemon that runs, or the time is over.
    void finish(duration limit)
    {
        finishing_ = true;
        run(limit);
    }

    void check()
    {
        std::size_t answered = 0;
        auto writes = simulation_.writes();
        for (const operation& each : operations_) {
            INFO("item " << each.items.front() << (each.items.size() > 1 ? " in a transaction" : ""));
            const std::size_t made = writes[each.items.front()].made;
            CHECK(made <= 1);
            for (const std::string& item : each.items) {
                CHECK(writes[item].made == made); // All or nothing.
            }
            if (each.told == answer::done) {
                CHECK(made == 1);
            } else if (each.told == answer::not_kept) {
                CHECK(writes[each.items.front()].kept == 0);
            }
            answered += each.told == answer::nothing ? 0 : 1;
        }
        for (const caller& each : callers_) {
            INFO("daemon " << each.daemon << " session " << each.session);
            const bool unanswered = simulation_.unanswered(each.daemon, each.session) > 0;
            CHECK((!unanswered || simulation_.stopped(each.daemon)));
        }
        CHECK(answered * 2 > operations_.size());
    }

    [[nodiscard]] std::size_t count() const { return operations_.size(); }

private:
    enum class answer { nothing, done, not_kept, unknown };
    struct operation {
        std::vector<std::string> items;
        answer told = answer::nothing;
    };
    struct caller {
        std::size_t daemon = 0;
        session_number session = 0;
        std::size_t read = 0;           ///< Replies read so far.
        std::size_t operation = 0;      ///< Index of the present operation.
        std::vector<std::string> steps; ///< Statements of the operation that are left.
        bool active = false;
    };

    void add(std::size_t daemon)
    {
        callers_.push_back({.daemon = daemon, .session = simulation_.open(daemon, "own")});
        callers_.back().read = 1; // That the session is ready.
    }

    void advance(caller& each)
    {
        if (simulation_.stopped(each.daemon) || simulation_.closed(each.daemon, each.session)) {
            return;
        }
        if (!each.active) {
            if (!finishing_) {
                begin(each);
            }
            return;
        }
        const auto& replies = simulation_.replies(each.daemon, each.session);
        while (each.read < replies.size()) {
            const auto* reply = std::get_if<statement_reply>(&replies[each.read++].reply);
            if (reply != nullptr) {
                take(each, *reply);
                return;
            }
        }
    }

    void begin(caller& each)
    {
        const std::string item = "item" + std::to_string(operations_.size());
        each.operation = operations_.size();
        each.active = true;
        if (operations_.size() % 3 == 0) {
            operations_.push_back({.items = {item, item + "b"}});
            each.steps = {"BEGIN", "WRITE " + item + " v", "WRITE " + item + "b v", "COMMIT"};
        } else {
            operations_.push_back({.items = {item}});
            each.steps = {"WRITE " + item + " v"};
        }
        send_next(each);
    }

    void send_next(caller& each)
    {
        const std::string text = each.steps.front();
        each.steps.erase(each.steps.begin());
        simulation_.send(each.daemon, each.session, text);
    }

    void take(caller& each, const statement_reply& reply)
    {
        operation& present = operations_[each.operation];
        if (reply->failure) {
            const outcome effect = error_row_for((*reply->failure)->kind).effect;
            present.told = effect == outcome::not_run ? answer::not_kept : answer::unknown;
            each.active = false;
            if (reply->state != transaction_state::none) {
                each.steps = {"ROLLBACK"};
                each.operation = operations_.size();
                operations_.push_back({.items = {"rollback"}, .told = answer::unknown});
                each.active = true;
                send_next(each);
            }
            return;
        }
        if (!each.steps.empty()) {
            send_next(each);
            return;
        }
        if (present.items.front() != "rollback") {
            present.told = answer::done;
        }
        each.active = false;
    }

    gateway_simulation& simulation_;
    std::vector<caller> callers_;
    std::vector<operation> operations_;
    bool finishing_ = false;
};

/// Faults of one kind at a time, each of which ends again.
struct random_faults {
    random_faults(gateway_simulation& subject, std::uint64_t seed) : simulation(subject), random(seed) {}

    std::size_t below(std::size_t limit) { return random() % limit; }

    void start()
    {
        const std::size_t daemon = below(simulation.daemons());
        switch (below(8)) {
        case 0:
            simulation.freeze(daemon, true);
            undo.push_back([this, daemon] { simulation.freeze(daemon, false); });
            return;
        case 1:
            if (ended++ < 3) {
                simulation.kill(daemon);
            }
            return;
        case 2:
            if (ended++ < 3) {
                simulation.terminate(daemon);
            }
            return;
        case 3:
            simulation.cut_peers(daemon, true);
            undo.push_back([this, daemon] { simulation.cut_peers(daemon, false); });
            return;
        case 4:
            simulation.lose_answers("m" + std::to_string(below(3)), 1 + below(6));
            return;
        case 5:
            simulation.refuse_store(daemon, true);
            undo.push_back([this, daemon] { simulation.refuse_store(daemon, false); });
            return;
        case 6:
            simulation.lose_packets(0.03);
            undo.push_back([this] { simulation.lose_packets(0); });
            return;
        default:
            const std::string leader = simulation.leader();
            if (!leader.empty() && !crashed) {
                crashed = true;
                simulation.crash_member(leader);
                undo.push_back([this, leader] {
                    simulation.restart_member(leader);
                    crashed = false;
                });
            }
        }
    }

    void end()
    {
        for (const auto& each : undo) {
            each();
        }
        undo.clear();
    }

    gateway_simulation& simulation;
    std::mt19937_64 random;
    std::vector<std::function<void()>> undo;
    std::size_t ended = 0;
    bool crashed = false;
};

void run_with_faults(const gateway_simulation::options& chosen, std::uint64_t seed)
{
    INFO("seed " << seed << ", daemons " << chosen.daemons << ", connections " << chosen.max_connections);
    gateway_simulation simulation(chosen);
    writing_callers callers(simulation);
    random_faults faults(simulation, seed);
    for (int i = 0; i < 8; ++i) {
        callers.run(500ms);
        faults.start();
        faults.start();
        callers.run(500ms + faults.below(3000) * 1ms);
        faults.end();
    }
    callers.finish(3s);
    callers.check();
}

} // namespace

TEST_CASE("answers to writes are true under random faults, with a connection for each daemon", "[truth]")
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        run_with_faults({.daemons = 6, .max_connections = 22, .seed = seed}, seed);
    }
}

TEST_CASE("answers to writes are true under random faults, with relayed statements", "[truth]")
{
    for (std::uint64_t seed = 101; seed <= 125; ++seed) {
        run_with_faults({.daemons = 12, .max_connections = 16, .seed = seed}, seed);
    }
}

TEST_CASE("a statement relayed to a daemon that stands still is not started again elsewhere", "[truth]")
{
    // It may still run there once the daemon goes on, so it must be neither repeated nor reported as not run.
    gateway_simulation simulation({.daemons = 12, .max_connections = 16});
    writing_callers callers(simulation);
    callers.run(500ms);
    for (std::size_t i = 0; i < simulation.daemons(); ++i) {
        simulation.freeze(i, true);
        callers.run(1500ms); // Longer than the timeout of a statement.
        simulation.freeze(i, false);
        callers.run(200ms);
    }
    callers.finish(3s);
    callers.check();
    CHECK(simulation.promotions().empty());
}

TEST_CASE("planned stops in a large fleet leave no statement without a true answer", "[truth]")
{
    // Fifteen of 60 daemons stop at once, four times, while the store is away for some of the others.
    gateway_simulation simulation({.daemons = 60, .max_connections = 37});
    writing_callers callers(simulation);
    callers.run(1s);
    for (std::size_t wave = 0; wave < 3; ++wave) {
        for (std::size_t i = 0; i < 15; ++i) {
            simulation.terminate(15 * wave + i);
            simulation.refuse_store(15 * wave + i, i % 3 == 0);
        }
        callers.run(2s);
    }
    callers.run(5s);
    callers.finish(3s);
    callers.check();
    for (std::size_t i = 0; i < 45; ++i) {
        INFO("daemon " << i);
        CHECK(simulation.stopped(i));
        CHECK(simulation.unanswered_in_all(i) == 0);
    }
}
