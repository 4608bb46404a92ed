// Clients that do not behave, before the daemon's own process. Each case checks that the process lives, that its memory
// and descriptors stay under the limits in its settings, and that an ordinary request is answered while the crowd is
// still connected. The crowds and the limits are fixed: they showed the faults before the daemon had any bounds.

#include "platform/standin/blocking_client.h"
#include "support/crowd.h"
#include "support/observed_process.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace citronfall;
using testing::crowd;
using testing::crowd_script;
using testing::observed_process;
using testing::process_limits;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr bool measures_memory = false; // The sanitizer keeps freed memory and its own bookkeeping.
#else
constexpr bool measures_memory = true;
#endif

/// Just below the longest message.
constexpr std::size_t long_item = 1'000'000;

/// Clients that together send or are sent more than the process may hold.
constexpr std::size_t crowd_over_memory = 150;

/// Clients that together need more descriptors than the process may open.
constexpr std::size_t crowd_over_descriptors = 400;
constexpr process_limits few_descriptors{.descriptors = 256};

/// Turns in which a crowd that has sent all it can stays connected.
constexpr std::size_t lingering_turns = 50;

const std::string startup = "STARTUP own crowd\r\n";

std::string long_read()
{
    return startup + "QUERY q READ " + std::string(long_item, 'x') + "\r\n";
}

/// A daemon, and a crowd before one of its addresses.
class observed_crowd {
public:
    explicit observed_crowd(const process_limits& limits = {}) : limits_(limits), process_(CITRONFALLD, limits) {}

    observed_process& process() { return process_; }

    void play(const std::string& address, std::size_t clients, crowd_script script)
    {
        crowd_.emplace(address, clients, std::move(script),
                       [this] { most_descriptors_ = std::max(most_descriptors_, process_.descriptors()); });
        crowd_->play();
        crowd_->linger(lingering_turns);
    }

    void check()
    {
        INFO("open connections of the crowd: " << crowd_->open());
        CHECK(process_.serves());
        CHECK(process_.answers_probe());
        CHECK(process_.alive());
        CHECK(most_descriptors_ <= limits_.descriptors);
        if (measures_memory) {
            CHECK(process_.peak_memory_mb() <= limits_.memory_mb);
        }
    }

private:
    process_limits limits_;
    observed_process process_;
    std::optional<crowd> crowd_;
    std::size_t most_descriptors_ = 0;
};

/// Beginning of a frame of the longest length between daemons, without its last byte.
std::string unfinished_frame()
{
    constexpr std::size_t length = 1024 * 1024;
    std::string bytes;
    for (unsigned shift = 0; shift < 32; shift += 8) {
        bytes.push_back(static_cast<char>((length >> shift) & 0xFFU));
    }
    return bytes + std::string(length - 1, 'x');
}

} // namespace

TEST_CASE("a crowd that sends whole messages of legal size at once is borne", "[clients]")
{
    observed_crowd seen;
    seen.play(seen.process().callers(), crowd_over_memory, {.text = long_read(), .piece = long_item});
    seen.check();
}

TEST_CASE("a crowd that sends messages of legal size in small pieces is borne", "[clients]")
{
    observed_crowd seen;
    seen.play(seen.process().callers(), crowd_over_memory, {.text = long_read(), .piece = 1024});
    seen.check();
}

TEST_CASE("a crowd that sends messages far over the limit is borne", "[clients]")
{
    observed_crowd seen;
    seen.play(seen.process().callers(), crowd_over_memory,
              {.text = startup + "QUERY q READ " + std::string(4 * long_item, 'x'), .piece = 16 * 1024});
    seen.check();
}

TEST_CASE("a crowd that stops half-way through a message is borne", "[clients]")
{
    observed_crowd seen;
    seen.play(seen.process().callers(), crowd_over_memory,
              {.text = startup + "QUERY q READ " + std::string(long_item, 'x')});
    seen.check();
}

TEST_CASE("a crowd that sends slowly is borne", "[clients]")
{
    observed_crowd seen(few_descriptors);
    seen.play(seen.process().callers(), crowd_over_descriptors, {.text = startup + "QUERY q READ x\r\n", .piece = 1});
    seen.check();
}

TEST_CASE("a crowd that sends many statements ahead without reading is borne", "[clients]")
{
    observed_crowd seen;
    REQUIRE(seen.process().serves("WRITE big " + std::string(long_item, 'x')));
    std::string ahead = startup;
    for (int i = 0; i < 30; ++i) {
        ahead += "QUERY q" + std::to_string(i) + " READ big\r\n";
    }
    seen.play(seen.process().callers(), crowd_over_memory, {.text = ahead});
    seen.check();
}

TEST_CASE("a crowd that reads long answers slowly is borne", "[clients]")
{
    observed_crowd seen;
    REQUIRE(seen.process().serves("WRITE big " + std::string(long_item, 'x')));
    seen.play(seen.process().callers(), crowd_over_memory,
              {.text = startup + "QUERY q1 READ big\r\nQUERY q2 READ big\r\n", .bytes_read_in_a_turn = 64});
    seen.check();
}

TEST_CASE("a crowd that connects and is silent is borne", "[clients]")
{
    observed_crowd seen(few_descriptors);
    seen.play(seen.process().callers(), crowd_over_descriptors, {});
    seen.check();
}

TEST_CASE("a crowd that starts sessions and leaves them idle is borne", "[clients]")
{
    observed_crowd seen(few_descriptors);
    seen.play(seen.process().callers(), crowd_over_descriptors, {.text = startup});
    seen.check();
}

TEST_CASE("a crowd that sends unfinished frames to the address for daemons is borne", "[clients]")
{
    observed_crowd seen;
    seen.play(seen.process().peers(), crowd_over_memory, {.text = unfinished_frame()});
    seen.check();
}

TEST_CASE("a crowd that is silent at the address for daemons is borne", "[clients]")
{
    observed_crowd seen(few_descriptors);
    seen.play(seen.process().peers(), crowd_over_descriptors, {});
    seen.check();
}

TEST_CASE("a crowd that stops half-way through requests to the monitoring address is borne", "[clients]")
{
    observed_crowd seen(few_descriptors);
    seen.play(seen.process().probe(), crowd_over_descriptors, {.text = "GET /metrics HTTP/1.1\r\nHost: "});
    seen.check();
}

TEST_CASE("a crowd that sends requests ahead to the monitoring address is borne", "[clients]")
{
    observed_crowd seen;
    std::string ahead;
    for (int i = 0; i < 2000; ++i) {
        ahead += "GET /metrics HTTP/1.1\r\nHost: crowd\r\n\r\n";
    }
    seen.play(seen.process().probe(), crowd_over_memory, {.text = ahead});
    seen.check();
}

TEST_CASE("a single message of nearly the longest length is served", "[clients]")
{
    // Guards against limits that hit a client that stays inside the protocol's.
    observed_process process(CITRONFALLD, {});
    CHECK(process.serves("WRITE big " + std::string(long_item, 'x')));
    CHECK(process.serves("READ big"));
    CHECK(process.serves("READ " + std::string(long_item, 'x')));
}

namespace {

/// Clients that together let a process without bounds keep more than its memory.
constexpr std::size_t clients_that_keep = 4;
constexpr int long_statements = 40;
constexpr int long_executions = 160;

/// Clients that wait for each answer before they send on, so that no bound on unanswered statements or unsent answers
/// concerns them. One that is disconnected connects again.
class patient_clients {
public:
    patient_clients(observed_process& process, std::size_t count, std::string word = {})
        : address_(process.callers()), start_("own" + (word.empty() ? word : " " + word)), clients_(count)
    {
    }

    /// Lets each client send the statements once, as one message, and waits for their answers.
    void send(const std::vector<std::string>& statements)
    {
        for (auto& each : clients_) {
            if (each == nullptr || !each->connected()) {
                each = std::make_unique<platform::standin::blocking_client>(address_);
                each->start(start_, answer_time);
            }
            std::string text;
            for (const std::string& statement : statements) {
                text += "QUERY q" + std::to_string(++last_query_) + " " + statement + "\r\n";
            }
            each->send(text);
            for (std::size_t ready = 0; ready < statements.size();) {
                const auto line = each->line(answer_time);
                if (!line) {
                    each.reset();
                    break;
                }
                ready += line->starts_with("READY") ? 1 : 0;
            }
        }
    }

private:
    static constexpr std::chrono::milliseconds answer_time{2000};

    std::string address_;
    std::string start_;
    std::vector<std::unique_ptr<platform::standin::blocking_client>> clients_;
    std::uint64_t last_query_ = 0;
};

/// Checks what has to hold while such clients are connected.
void check_bounded(observed_process& process)
{
    CHECK(process.serves());
    CHECK(process.alive());
    if (measures_memory) {
        CHECK(process.peak_memory_mb() <= process_limits{}.memory_mb);
    }
}

std::string long_shape(int number)
{
    return "q" + std::to_string(number) + std::string(long_item, 'x');
}

} // namespace

TEST_CASE("clients that set many long session values are borne", "[clients]")
{
    // Guards against what a session keeps beyond an answer, which no bound counted (review/7).
    observed_process process(CITRONFALLD, {});
    patient_clients clients(process, clients_that_keep);
    for (int i = 0; i < long_statements; ++i) {
        clients.send({"SET v" + std::to_string(i) + " " + std::string(long_item, 'x')});
    }
    check_bounded(process);
}

TEST_CASE("clients that prepare many long shapes are borne", "[clients]")
{
    // Guards against the same of prepared names.
    observed_process process(CITRONFALLD, {});
    patient_clients clients(process, clients_that_keep);
    for (int i = 0; i < long_statements; ++i) {
        clients.send({"PREPARE p" + std::to_string(i) + " READ " + long_shape(i)});
    }
    check_bounded(process);
}

TEST_CASE("clients that set many short session values are borne", "[clients]")
{
    // Guards against counting the bytes of names and values only: each entry takes memory of its own.
    constexpr std::size_t many_clients = 8;
    constexpr int values = 60'000;
    constexpr int batch = 20;
    observed_process process(CITRONFALLD, {});
    patient_clients clients(process, many_clients);
    for (int i = 0; i < values; i += batch) {
        std::vector<std::string> statements;
        for (int k = 0; k < batch; ++k) {
            statements.push_back("SET a_name_that_is_not_kept_in_place_" + std::to_string(i + k) +
                                 " a_value_that_is_not_kept_in_place");
        }
        clients.send(statements);
    }
    check_bounded(process);
}

TEST_CASE("clients that start sessions with long words are borne", "[clients]")
{
    // Guards against the word after the database, which a session keeps as well.
    observed_process process(CITRONFALLD, {});
    patient_clients clients(process, crowd_over_memory, std::string(long_item, 'x'));
    clients.send({"SET v x"});
    check_bounded(process);
}

TEST_CASE("a client that runs many long prepared shapes is borne", "[clients]")
{
    // Guards against what connections to members keep of shapes that no session holds any more (review/10). The session
    // keeps one shape at a time, so the bound on sessions does not concern it.
    observed_process process(CITRONFALLD, {});
    patient_clients clients(process, 1);
    for (int i = 0; i < long_executions; ++i) {
        clients.send({"PREPARE s1 READ " + long_shape(i)});
        clients.send({"EXECUTE s1 x"});
    }
    check_bounded(process);
}

TEST_CASE("a client that runs many long prepared shapes in a transaction is borne", "[clients]")
{
    // Guards against bounds that hold only between transactions: in one, a connection to a member cannot be reset.
    observed_process process(CITRONFALLD, {});
    patient_clients clients(process, 1);
    clients.send({"BEGIN"});
    for (int i = 0; i < long_executions; ++i) {
        clients.send({"PREPARE s1 READ " + long_shape(i)});
        clients.send({"EXECUTE s1 x"});
    }
    check_bounded(process);
}

TEST_CASE("a single long session value and a single long shape are kept", "[clients]")
{
    // Guards against bounds that hit a client that stays inside the protocol's.
    observed_process process(CITRONFALLD, {});
    CHECK(process.serves("SET v " + std::string(long_item, 'x')));
    CHECK(process.serves("PREPARE s READ " + std::string(long_item, 'x')));
}
