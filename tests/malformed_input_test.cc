// Bytes that violate a protocol, and unexpected exceptions, end what they concern and nothing else.

#include "gateway/caller_server.h"
#include "gateway/member_client.h"
#include "gateway/monitoring_server.h"
#include "peer/peer_codec.h"
#include "peer/peer_frame.h"
#include "peer/peer_service.h"
#include "platform/gateway_settings_reader.h"
#include "platform/platform.h"
#include "platform/store_codec.h"
#include "platform/store_entry_reader.h"
#include "registration_codec/registration_codec.h"
#include "standin/free_port.h"
#include "support/gateway_simulation.h"
#include "support/raw_client.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t last_seed = 400;

/// A valid input with some bytes changed, removed, added or repeated.
std::string mutated(const std::string& valid, std::mt19937_64& random)
{
    const auto below = [&random](std::size_t limit) {
        return static_cast<std::size_t>(random() % std::max<std::size_t>(limit, 1));
    };
    std::string text = valid;
    for (std::size_t changes = 1 + below(4); changes > 0; --changes) {
        const std::size_t at = below(text.size() + 1);
        switch (below(5)) {
        case 0:
            text.insert(at, 1, static_cast<char>(below(256)));
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            text.insert(at, text.substr(below(text.size() + 1), below(40)));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            if (at < text.size()) {
                text[at] = static_cast<char>(below(256));
            }
        }
    }
    return text;
}

/// Passes variants of valid inputs to a decoder, which may refuse them but must not throw.
void decode_variants(const std::vector<std::string>& valid, const std::function<void(const std::string&)>& decode)
{
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        std::mt19937_64 random(seed);
        for (const std::string& each : valid) {
            const std::string input = mutated(each, random);
            INFO("seed " << seed << ", input " << input);
            REQUIRE_NOTHROW(decode(input));
        }
    }
}

store_answer store_codec_decode(const call_body& body, int status, const std::string& text)
{
    return platform::store_codec::decode(store_call{{.number = 1, .body = body}},
                                         http_reply{{.status = status, .body = text}});
}

const std::vector<std::string> configurations = {
    R"({"Version":7,"Routes":[{"Name":"r","Host":"db","Service":"s","Type":"read_your_writes","TimeoutMs":800,)"
    R"("TargetLatencyMs":250,"MaxStalenessMs":2500,"Priority":2}],"Services":[{"Name":"s","MaxConns":20,)"
    R"("SyncReplicas":1}],"Limits":{"TxIdleMs":3000}})"};

const std::vector<std::string> member_entries = {
    R"({"Service":"s","Address":"127.0.0.1:80","Zone":"a","Version":"v1","Slots":3,"State":"ready",)"
    R"("WarmupLeftMs":0,"Seq":4,"DbRole":"primary","born":1790000000000})"};

} // namespace

TEST_CASE("malformed lines of callers are refused", "[malformed]")
{
    const platform_adapter adapter = platform::make_platform_adapter("");
    decode_variants({"STARTUP db user\r\nQUERY 5c0e BEGIN READ\r\nQUERY 5c0f EXECUTE s1 1a4 data\r\nTERMINATE\r\n",
                     "STARTUP db u\r\nQUERY 1 PREPARE s1 WRITE q2c\r\nQUERY 2 SET a b\r\nQUERY 3 DEALLOCATE s1\r\n"},
                    [&adapter](const std::string& input) {
                        const caller_decoder decoder = adapter.make_caller_decoder(1);
                        decoder.add(input);
                        for (int i = 0; i < 100 && decoder.next(); ++i) {
                        }
                    });
}

TEST_CASE("malformed answers of members are refused", "[malformed]")
{
    const platform_adapter adapter = platform::make_platform_adapter("");
    decode_variants({"READY I 3.1207\r\nROW qhz kwm\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n",
                     "READY I -\r\nERROR READONLY i-7f3a\r\nREADY E 3.1209\r\n",
                     "READY I 1.1\r\nROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\nREADY T 3.1204\r\n"},
                    [&adapter](const std::string& input) {
                        const member_decoder decoder = adapter.make_member_decoder(1);
                        decoder.add(input);
                        for (int i = 0; i < 100; ++i) {
                            const auto next = decoder.next();
                            if (!ok(next) || !value_of(next)) {
                                break;
                            }
                        }
                        static_cast<void>(adapter.read_status(input));
                    });
}

TEST_CASE("malformed answers of the store are reported as such", "[malformed]")
{
    const std::string items = R"({"items":[{"Key":"op/config","Value":"eyJ9","Revision":4,"Created":1,"Lease":0}],)"
                              R"("MorePages":false,"StoreRevision":9})";
    const std::string events = R"({"events":[{"Key":"a","Revision":5,"Deleted":true}],"StoreRevision":9})";
    const std::vector<std::pair<call_body, std::string>> answers = {{read_range{}, items},
                                                                    {watch_range{}, events},
                                                                    {change_items{}, R"({"Revision":8})"},
                                                                    {grant_lease{}, R"({"Lease":12,"TtlMs":3000})"},
                                                                    {renew_lease{}, "{}"}};
    for (const auto& [body, answer] : answers) {
        decode_variants({answer}, [&call = body](const std::string& input) {
            for (const int status : {200, 412, 429}) {
                static_cast<void>(store_codec_decode(call, status, input));
            }
        });
    }
}

TEST_CASE("malformed entries of the store name nothing", "[malformed]")
{
    decode_variants(configurations, [](const std::string& input) {
        static_cast<void>(platform::store_entry_reader::read_service_configuration(input));
    });
    decode_variants(member_entries, [](const std::string& input) {
        static_cast<void>(platform::store_entry_reader::read_member("m", input));
    });
    decode_variants({registration_codec::encode(daemon_registration{{.name = "d", .peer_address = "127.0.0.1:1"}})},
                    [](const std::string& input) { static_cast<void>(registration_codec::read_daemon("d", input)); });
    decode_variants(
        {registration_codec::encode(failover_lock{{.service = "s", .holder = "d"}})},
        [](const std::string& input) { static_cast<void>(registration_codec::read_failover_lock("s", input)); });
}

TEST_CASE("malformed settings are refused", "[malformed]")
{
    decode_variants(
        {R"({"daemon":{"name":"d","region":"r","data_center":"c"},"callers":{"address":"127.0.0.1:1"},)"
         R"("probe":{"address":"127.0.0.1:2","path":"/"},"store":{"address":"127.0.0.1:3"},)"
         R"("limits":{"descriptors":4300,"processor_share":0.25,"cores":1,"link_mbps":1000.0}})"},
        [](const std::string& input) { static_cast<void>(platform::gateway_settings_reader::read(input)); });
}

TEST_CASE("malformed frames of peers are refused", "[malformed]")
{
    const relayed_statement statement{
        {.number = 4, .request = task_request{{.request_id = "q", .values = {{"a", "b"}}}}}};
    decode_variants({peer_codec::encode(peer_hello{{.daemon = "d"}}), peer_codec::encode(statement),
                     peer_codec::encode(store_changes{{.items = {store_item{{.key = "k", .value = "v"}}}}}),
                     peer_codec::encode(store_digest{{.ranges = {range_digest{}}}})},
                    [](const std::string& input) { static_cast<void>(peer_codec::decode(input)); });
}

TEST_CASE("messages of callers are the same in pieces and whole", "[malformed]")
{
    // Guards against a decoder whose state depends on where the network cuts the stream.
    const platform_adapter adapter = platform::make_platform_adapter("");
    const std::string valid = "STARTUP db u\r\nQUERY 1 READ a\r\nQUERY 2 SET a b\r\nQUERY 3 WRITE a b\r\nTERMINATE\r\n";
    const auto decode = [&adapter](const std::vector<std::string>& pieces) {
        const caller_decoder decoder = adapter.make_caller_decoder(1);
        std::vector<caller_event> events;
        for (const std::string& piece : pieces) {
            decoder.add(piece);
            while (const auto event = decoder.next()) {
                events.push_back(*event);
                const auto* malformed = std::get_if<malformed_caller_message>(&*event);
                if (malformed != nullptr && (*malformed)->fatal) {
                    return events;
                }
            }
        }
        return events;
    };
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        std::mt19937_64 random(seed);
        const std::string input = mutated(valid, random);
        std::vector<std::string> pieces;
        for (std::size_t at = 0; at < input.size();) {
            pieces.push_back(input.substr(at, 1 + random() % 20));
            at += pieces.back().size();
        }
        INFO("seed " << seed << ", input " << input);
        REQUIRE(decode(pieces) == decode({input}));
    }
}

TEST_CASE("a peer service bears any frames", "[malformed]")
{
    // Guards against frames that end the service, or that make it take memory or connections for good.
    const std::string address = standin::free_address();
    std::atomic<int> greeted{0};
    peer_service service({.self = peer_hello{{.daemon = "one"}},
                          .listen = address,
                          .notify =
                              [&greeted](const peer_event& event) {
                                  greeted += event->kind == peer_event_kind::connected && event->from == "good" ? 1 : 0;
                              },
                          .random =
                              [](std::uint64_t) {
                                  return std::uint64_t{0};
                              }});
    REQUIRE(ok(service.open()));
    std::thread thread([&service] { service.run(); });
    const auto framed = [](frame_kind kind, const std::string& body) {
        return encode(frame_header{.kind = kind, .length = body.size()}) + body;
    };
    const std::string hello = framed(frame_kind::message, peer_codec::encode(peer_hello{{.daemon = "bad"}}));
    const std::string digest = peer_codec::encode(store_digest{{.ranges = {range_digest{}}}});
    const std::string valid = hello + framed(frame_kind::message, digest) +
                              framed(frame_kind::piece, digest.substr(0, 10)) +
                              framed(frame_kind::last_piece, digest.substr(10));
    std::vector<std::unique_ptr<testing::raw_client>> clients;
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        std::mt19937_64 random(seed);
        clients.push_back(std::make_unique<testing::raw_client>(address));
        clients.back()->write(mutated(valid, random));
        if (clients.size() > 100) {
            clients.erase(clients.begin());
        }
    }
    testing::raw_client good(address);
    good.write(framed(frame_kind::message, peer_codec::encode(peer_hello{{.daemon = "good"}})));
    for (int i = 0; i < 500 && greeted == 0; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    service.stop();
    thread.join();
    CHECK(greeted == 1);
    CHECK(service.counters().at("held_bytes{part=\"peer_input\"}") <= 100 * 1024 * 1024);
}

TEST_CASE("the monitoring address bears any requests", "[malformed]")
{
    const std::string address = standin::free_address();
    std::atomic<int> failures{0};
    monitoring_server server({.address = address,
                              .ready_path = "/ready",
                              .metrics_path = "/metrics",
                              .report_path = "/status",
                              .failed = [&failures](const std::string&) {
                                  ++failures;
                              }});
    REQUIRE(ok(server.start()));
    server.set_ready(true);
    const std::string valid = testing::get("/metrics") + testing::post("/ready", "body") + testing::get("/status?a=b");
    std::vector<std::unique_ptr<testing::raw_client>> clients;
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        std::mt19937_64 random(seed);
        clients.push_back(std::make_unique<testing::raw_client>(address));
        clients.back()->write(mutated(valid, random));
        if (clients.size() > 100) {
            clients.erase(clients.begin());
        }
    }
    testing::raw_client probe(address);
    probe.write(testing::get("/ready"));
    CHECK(probe.read_answers(1).starts_with("HTTP/1.1 200"));
    server.stop();
    CHECK(failures == 0);
}

TEST_CASE("an exception while a caller's bytes are handled ends its connection only", "[malformed]")
{
    const std::string address = standin::free_address();
    std::atomic<int> failures{0};
    std::atomic<int> started{0};
    const auto make_decoder = [](session_number session) {
        const auto bytes = std::make_shared<std::string>();
        return caller_decoder{.add = [bytes](std::string_view received) { *bytes += received; },
                              .next = [bytes, session]() -> std::optional<caller_event> {
                                  if (*bytes == "throw") {
                                      throw std::out_of_range("no such thing");
                                  }
                                  return std::exchange(*bytes, {}).empty()
                                             ? std::nullopt
                                             : std::optional<caller_event>(caller_connected{{.session = session}});
                              },
                              .pending =
                                  [bytes] {
                                      return bytes->size();
                                  }};
    };
    caller_server server({.address = address,
                          .make_decoder = make_decoder,
                          .encode = [](const caller_reply&) { return std::string("ready"); },
                          .notify =
                              [&started](const caller_event& event) {
                                  started += std::holds_alternative<caller_connected>(event) ? 1 : 0;
                              },
                          .failed =
                              [&failures](const std::string&) {
                                  ++failures;
                              }});
    REQUIRE(ok(server.open()));
    std::thread thread([&server] { server.run(); });
    {
        testing::raw_client other(address);
        testing::raw_client bad(address);
        bad.write("throw");
        CHECK(bad.read_to_end().empty());
        other.write("fine");
        for (int i = 0; i < 100 && started == 0; ++i) {
            std::this_thread::sleep_for(10ms);
        }
    }
    server.stop();
    thread.join();
    CHECK(failures == 1);
    CHECK(started == 1);
}

TEST_CASE("an exception while a peer's message is handled ends that link only", "[malformed]")
{
    const std::string address = standin::free_address();
    std::atomic<int> failures{0};
    std::atomic<int> connected{0};
    peer_service listening({.self = peer_hello{{.daemon = "one"}},
                            .listen = address,
                            .notify =
                                [&connected](const peer_event& event) {
                                    connected += event->kind == peer_event_kind::connected ? 1 : 0;
                                    if (event->kind == peer_event_kind::received) {
                                        throw std::out_of_range("no such thing");
                                    }
                                },
                            .random = [](std::uint64_t) { return 0U; },
                            .failed =
                                [&failures](const std::string&) {
                                    ++failures;
                                }});
    peer_service other({.self = peer_hello{{.daemon = "two"}},
                        .seeds = {address},
                        .notify = [](const peer_event&) {},
                        .random =
                            [](std::uint64_t) {
                                return 0U;
                            }});
    REQUIRE(ok(listening.open()));
    std::thread first([&listening] { listening.run(); });
    std::thread second([&other] { other.run(); });
    for (int i = 0; i < 300 && connected < 2; ++i) {
        static_cast<void>(
            other.commands().try_push(outgoing_peer_message{{.to = "one", .message = relayed_end{{.number = 4}}}}));
        std::this_thread::sleep_for(20ms);
    }
    listening.stop();
    other.stop();
    first.join();
    second.join();
    CHECK(failures >= 1);
    CHECK(connected >= 2); // It has connected again.
}

TEST_CASE("an exception while the decision thread handles a statement ends its session only", "[malformed]")
{
    gateway_simulation simulation({});
    const session_number other = simulation.open(0, "own");
    const session_number session = simulation.open(0, "own");
    simulation.throw_on_next_command(0);
    simulation.send(0, session, "WRITE x");
    simulation.run(100ms);
    CHECK(simulation.closed(0, session));
    CHECK(simulation.logged(0, "internal_error").size() == 1);
    const auto reply = simulation.execute(0, other, "WRITE y");
    REQUIRE(reply);
    CHECK_FALSE((*reply)->failure);
    CHECK(simulation.ready(0));
}
