#include "peer/neighbour_choice.h"
#include "peer/peer_codec.h"
#include "peer/peer_service.h"
#include "peer_generated.h"
#include "standin/free_port.h"

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

using builder = flatbuffers::FlatBufferBuilder;

std::function<std::uint64_t(std::uint64_t)> seeded(std::uint64_t seed)
{
    return [engine = std::mt19937_64(seed)](std::uint64_t below) mutable {
        return engine() % below;
    };
}

const std::vector<peer_message> all_messages{
    peer_hello{{.daemon = "guj-1", .region = "guj-west", .data_center = "rajkot", .incarnation = 7}},
    peer_digest{{.document = 9,
                 .parts = {part_digest{{.part = document_part_id::limits, .revision = 4, .hash = 5}}},
                 .views = {daemon_view{{.daemon = 1, .document = 9, .beat = 3}}}}},
    section_update{{.base = 8,
                    .document = 9,
                    .digests = {part_digest{{.part = document_part_id::history, .revision = 9, .hash = 6}}},
                    .parts = {document_part{{.part = document_part_id::history, .revision = 9, .text = "[]"}}}}},
    suspicion_query{{.number = 1, .group = "kapot-1", .member = "a", .term = 2}},
    suspicion_reply{{.number = 1, .suspects = true, .term = 3}},
    share_request{{.member = member_key{{.group = "kapot-1", .member = "a"}}, .wanted = 2}},
    share_grant{{.number = 5, .member = member_key{{.group = "kapot-1", .member = "a"}}, .connections = 1}},
    share_ack{{.number = 5, .accepted = true}},
    store_digest{{.ranges = {range_digest{{.changed_at = {.era = 3, .revision = 9},
                                           .complete_to = {.era = 3, .revision = 12},
                                           .contents = 77}},
                             range_digest{{.changed_at = {.era = 2, .revision = 70},
                                           .complete_to = {.era = 2, .revision = 70},
                                           .contents = 0}}},
                  .store_live = true,
                  .current_age = 350ms,
                  .store_failure_age = 2s}},
    store_request{{.range = 1, .after = {.era = 2, .revision = 70}}},
    store_changes{{.range = 1,
                   .at = {.era = 3, .revision = 9},
                   .complete = true,
                   .items = {store_item{{.key = "op/config", .value = "v", .revision = 9, .lease = 4}},
                             store_item{{.key = "op/old", .revision = 8, .deleted = true}}}}},
    leave_notice{}};

/// The body with its length in front.
std::string framed(const std::string& body)
{
    std::string bytes;
    for (unsigned shift = 0; shift < 32; shift += 8) {
        bytes.push_back(static_cast<char>((body.size() >> shift) & 0xFFU));
    }
    return bytes + body;
}

/// Connects to a peer service on loopback and sends the hello.
boost::asio::ip::tcp::socket connect_as(boost::asio::io_context& context, std::uint16_t port, const peer_hello& hello)
{
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(socket, boost::asio::buffer(framed(peer_codec::encode(hello))));
    return socket;
}

/// A message as releases without eras encode it.
std::string encode_without_era(wire::body type, const std::function<flatbuffers::Offset<void>(builder&)>& body)
{
    builder out;
    const auto offset = body(out);
    out.Finish(wire::Createpeer_message(out, type, offset));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

/// A peer service that runs on its own thread and stores its events in a ring.
class running_peer {
public:
    running_peer(const std::string& daemon, const std::string& address, const std::vector<std::string>& seeds)
        : running_peer({.self = peer_hello{{.daemon = daemon, .data_center = "a"}}, .listen = address, .seeds = seeds})
    {
    }

    explicit running_peer(peer_service_options options)
        : events({.capacity = 1000}), service(with_hooks(std::move(options)))
    {
        REQUIRE(ok(service.open()));
        thread = std::thread([this] { service.run(); });
    }

    ~running_peer()
    {
        events.close();
        service.stop();
        thread.join();
    }

    std::optional<peer_event> wait(peer_event_kind kind, duration longest = std::chrono::seconds(5))
    {
        const instant deadline = steady_now() + longest;
        while (auto event = events.pop_until(deadline)) {
            if ((*event)->kind == kind) {
                return event;
            }
        }
        return std::nullopt;
    }

    bounded_ring<peer_event> events;
    peer_service service;
    std::thread thread;

private:
    peer_service_options with_hooks(peer_service_options options)
    {
        options.notify = [this](const peer_event& e) {
            (void)events.push(e);
        };
        options.random = seeded(1);
        return options;
    }
};

} // namespace

// Guards against fields that are lost or swapped between the schema and the values.
TEST_CASE("every peer message is unchanged after encoding and decoding", "[peer]")
{
    for (const peer_message& each : all_messages) {
        const auto read = peer_codec::decode(peer_codec::encode(each));
        REQUIRE(ok(read));
        CHECK(value_of(read) == each);
    }
    const peer_message accepting = peer_hello{{.daemon = "d", .receive_timeout = 3s, .accepts_pieces = true}};
    CHECK(value_of(peer_codec::decode(peer_codec::encode(accepting))) == accepting);
}

TEST_CASE("messages of a release without eras are read as of no era", "[peer]")
{
    const std::vector<std::uint64_t> revisions{7, 8};
    const auto digest = peer_codec::decode(encode_without_era(wire::body::store_digest, [&](builder& out) {
        return wire::Createstore_digestDirect(out, &revisions, true).Union();
    }));
    const auto request = peer_codec::decode(encode_without_era(
        wire::body::store_request, [](builder& out) { return wire::Createstore_request(out, 1, 7).Union(); }));
    const auto changes = peer_codec::decode(encode_without_era(
        wire::body::store_changes, [](builder& out) { return wire::Createstore_changesDirect(out, 1).Union(); }));
    REQUIRE((ok(digest) && ok(request) && ok(changes)));
    CHECK(value_of(digest) == peer_message(store_digest{{.ranges = {range_digest{{.changed_at = {.revision = 7}}},
                                                                    range_digest{{.changed_at = {.revision = 8}}}},
                                                         .store_live = true}}));
    CHECK(value_of(request) == peer_message(store_request{{.range = 1, .after = {.revision = 7}}}));
    CHECK(value_of(changes) == peer_message(store_changes{{.range = 1}}));
}

// Guards against out-of-bounds reads of a truncated or corrupted frame.
TEST_CASE("corrupted frames are refused or decode to a valid message", "[peer]")
{
    auto random = seeded(20261204);
    for (const peer_message& each : all_messages) {
        const std::string bytes = peer_codec::encode(each);
        for (std::size_t length = 0; length < bytes.size(); length += 3) {
            static_cast<void>(peer_codec::decode(std::string_view(bytes).substr(0, length)));
        }
        for (int i = 0; i < 500; ++i) {
            std::string damaged = bytes;
            damaged[random(damaged.size())] = static_cast<char>(random(256));
            static_cast<void>(peer_codec::decode(damaged));
        }
    }
    CHECK_FALSE(ok(peer_codec::decode("")));
    CHECK_FALSE(ok(peer_codec::decode(std::string(40, '\xff'))));
}

// Guards against a choice of neighbours that partitions the fleet.
TEST_CASE("the chosen neighbours form a connected graph of all daemons", "[peer]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        const std::size_t size = 2 + seed % 49;
        std::vector<neighbour_candidate> all;
        for (std::size_t i = 0; i < size; ++i) {
            all.push_back(neighbour_candidate{{.address = "127.0.0.1:" + std::to_string(24000 + i),
                                               .data_center = std::string(1, static_cast<char>('a' + i % 3))}});
        }
        std::map<std::string, std::set<std::string>> edges;
        for (const auto& each : all) {
            const auto chosen = choose_neighbours(
                all, {.address = each->address, .data_center = each->data_center, .random = seeded(seed)});
            CHECK(chosen.size() == std::min<std::size_t>(4, size - 1));
            CHECK(std::set<std::string>(chosen.begin(), chosen.end()).size() == chosen.size());
            for (const std::string& other : chosen) {
                CHECK(other != each->address);
                edges[each->address].insert(other);
            }
        }
        std::set<std::string> reached;
        std::vector<std::string> open{all.front()->address};
        while (!open.empty()) {
            const std::string at = open.back();
            open.pop_back();
            if (reached.insert(at).second) {
                open.insert(open.end(), edges[at].begin(), edges[at].end());
            }
        }
        CHECK(reached.size() == size);
    }
}

// Guards against lost messages, an undetected disconnection of a peer, and a missing reconnection.
TEST_CASE("peers connect, exchange messages and reconnect", "[peer]")
{
    const std::string one = standin::free_address();
    const std::string two = standin::free_address();
    running_peer first("one", one, {two});
    {
        running_peer second("two", two, {one});
        REQUIRE(first.wait(peer_event_kind::connected));
        REQUIRE(second.wait(peer_event_kind::connected));
        for (std::size_t i = 1; i < all_messages.size(); ++i) {
            REQUIRE(first.service.commands().push(
                outgoing_peer_message{{.to = i % 2 == 0 ? "two" : "", .message = all_messages[i]}}));
            const auto event = second.wait(peer_event_kind::received);
            REQUIRE(event);
            CHECK((*event)->from == "one");
            CHECK((*event)->message == all_messages[i]);
        }
    }
    CHECK(first.wait(peer_event_kind::disconnected));
    running_peer again("two", two, {});
    CHECK(first.wait(peer_event_kind::connected));
}

// Guards against relayed statements and transactions that are lost because a daemon closes a link on which little is
// sent.
TEST_CASE("a link between daemons that send nothing stays open", "[peer]")
{
    const std::string one = standin::free_address();
    const auto options = [&](const std::string& daemon) {
        return peer_service_options{.self = peer_hello{{.daemon = daemon}}, .receive_timeout = 1s};
    };
    peer_service_options listening = options("one");
    listening.listen = one;
    peer_service_options connecting = options("two");
    connecting.seeds = {one};
    running_peer first(listening);
    running_peer second(connecting);
    REQUIRE(first.wait(peer_event_kind::connected));
    CHECK_FALSE(first.wait(peer_event_kind::disconnected, 2500ms));
    CHECK(first.service.counters().at("peer_connections_lost_total") == 0);
    CHECK(second.service.counters().at("peer_connections_lost_total") == 0);
}

// Guards against keepalives on which a daemon of the former release closes the connection.
TEST_CASE("a keepalive is an end without numbers to the former release", "[peer]")
{
    const std::string bytes = peer_codec::encode(keepalive{});
    const auto* sent = flatbuffers::GetRoot<wire::peer_message>(bytes.data());
    const auto* end = sent->body_as_relayed_end();
    REQUIRE(end != nullptr);
    CHECK(end->transaction() == 0);
    CHECK(end->number() == 0);
    CHECK_FALSE(end->leaving());
    const auto read = peer_codec::decode(bytes);
    REQUIRE(ok(read));
    CHECK(value_of(read) == peer_message{keepalive{}});
}

// Guards against links to daemons of the former release, which close a silent one after 5 s and do not say so.
TEST_CASE("the hello of the former release states its receive timeout by default", "[peer]")
{
    flatbuffers::FlatBufferBuilder out;
    const auto hello = wire::CreatehelloDirect(out, "old", "r", "dc", 7);
    out.Finish(wire::Createpeer_message(out, wire::body::hello, hello.Union()));
    const auto read = peer_codec::decode({reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()});
    REQUIRE(ok(read));
    CHECK(std::get<peer_hello>(value_of(read))->receive_timeout == 5s);
    CHECK_FALSE(std::get<peer_hello>(value_of(read))->accepts_pieces);
}

// Guards against keepalives that wake the decision thread.
TEST_CASE("keepalives of a link are not reported as messages", "[peer]")
{
    const std::string one = standin::free_address();
    running_peer first({.self = peer_hello{{.daemon = "one"}}, .listen = one, .receive_timeout = 125ms});
    running_peer second({.self = peer_hello{{.daemon = "two"}}, .seeds = {one}});
    REQUIRE(first.wait(peer_event_kind::connected));
    CHECK_FALSE(first.wait(peer_event_kind::received, 500ms));
    CHECK(first.service.counters().at("peer_frames_received_total") > 1);
}

// Guards against relayed work that waits for its timeout because a frame for a peer that reads too slowly was dropped.
TEST_CASE("a peer that reads too slowly for relayed work is reported as lost", "[peer]")
{
    const std::uint16_t port = standin::free_port();
    running_peer subject("one", "127.0.0.1:" + std::to_string(port), {});
    boost::asio::io_context context;
    const auto socket = connect_as(context, port, peer_hello{{.daemon = "two"}});
    REQUIRE(subject.wait(peer_event_kind::connected));
    // Together more than the socket buffers and the queue of the connection hold.
    const relayed_outcome large{
        {.number = 1, .outcome = task_outcome{{.rows = {std::string(peer_codec::max_frame_bytes / 2, 'x')}}}}};
    for (int i = 0; i < 60; ++i) {
        REQUIRE(subject.service.commands().push(outgoing_peer_message{{.to = "two", .message = large}}));
    }
    const auto event = subject.wait(peer_event_kind::disconnected, std::chrono::seconds(3));
    REQUIRE(event);
    CHECK((*event)->reason == peer_close_reason::overloaded);
    CHECK(subject.service.counters().at("peer_messages_dropped_total") > 0);
}

// Guards against an answer over one frame that is dropped without telling either side (review/2).
TEST_CASE("messages over one frame arrive in pieces, between which others are sent", "[peer]")
{
    const std::string one = standin::free_address();
    running_peer first("one", one, {});
    running_peer second({.self = peer_hello{{.daemon = "two"}}, .seeds = {one}});
    REQUIRE(first.wait(peer_event_kind::connected));
    REQUIRE(second.wait(peer_event_kind::connected));
    const std::vector<std::string> rows(5, std::string(peer_codec::max_frame_bytes, 'x'));
    const relayed_outcome long_answer{{.number = 1, .outcome = task_outcome{{.rows = rows}}}};
    const relayed_outcome short_answer{{.number = 2}};
    REQUIRE(first.service.commands().push(outgoing_peer_message{{.to = "two", .message = long_answer}}));
    REQUIRE(first.service.commands().push(outgoing_peer_message{{.to = "two", .message = short_answer}}));
    const auto next = second.wait(peer_event_kind::received);
    REQUIRE(next);
    CHECK((*next)->message == peer_message{short_answer});
    const auto last = second.wait(peer_event_kind::received);
    REQUIRE(last);
    CHECK((*last)->message == peer_message{long_answer});
    CHECK(second.service.counters().at("held_bytes{part=\"peer_input\"}") == 0);
}

// Guards against frames that daemons of the former release take for an error.
TEST_CASE("a peer that does not accept pieces gets a long message in one frame", "[peer]")
{
    const std::uint16_t port = standin::free_port();
    running_peer subject("one", "127.0.0.1:" + std::to_string(port), {});
    boost::asio::io_context context;
    auto socket = connect_as(context, port, peer_hello{{.daemon = "two"}});
    REQUIRE(subject.wait(peer_event_kind::connected));
    const relayed_outcome answer{{.number = 1, .outcome = task_outcome{{.rows = {std::string(200'000, 'x')}}}}};
    REQUIRE(subject.service.commands().push(outgoing_peer_message{{.to = "two", .message = answer}}));
    const std::string expected = framed(peer_codec::encode(answer));
    std::string received;
    boost::system::error_code code;
    while (!code && received.find(expected) == std::string::npos) {
        std::string part(64 * 1024, '\0');
        part.resize(socket.read_some(boost::asio::buffer(part), code));
        received += part;
    }
    CHECK_FALSE(code);
}

// Guards against an answer without room that ends all that is relayed over the connection.
TEST_CASE("a long answer without room fails alone", "[peer]")
{
    const std::string one = standin::free_address();
    running_peer first({.self = peer_hello{{.daemon = "one"}}, .listen = one, .max_output_bytes = 1024 * 1024});
    running_peer second({.self = peer_hello{{.daemon = "two"}}, .seeds = {one}});
    REQUIRE(first.wait(peer_event_kind::connected));
    const relayed_outcome long_answer{
        {.number = 7, .outcome = task_outcome{{.rows = {std::string(2 * 1024 * 1024, 'x')}}}, .transaction = 4}};
    REQUIRE(first.service.commands().push(outgoing_peer_message{{.to = "two", .message = long_answer}}));
    const auto received = second.wait(peer_event_kind::received);
    REQUIRE(received);
    const auto& outcome = std::get<relayed_outcome>((*received)->message);
    CHECK(outcome->number == 7);
    CHECK(outcome->transaction == 4);
    REQUIRE(outcome->outcome->failure);
    CHECK((*outcome->outcome->failure)->kind == error_kind::statement_failed);
}

// Guards against an answer that takes the memory of the daemon that asked for it.
TEST_CASE("a message over the memory for incomplete ones is dropped, and the connection stays", "[peer]")
{
    const std::string one = standin::free_address();
    running_peer first("one", one, {});
    running_peer second({.self = peer_hello{{.daemon = "two"}}, .seeds = {one}, .max_input_bytes = 1024 * 1024});
    REQUIRE(first.wait(peer_event_kind::connected));
    const relayed_outcome long_answer{
        {.number = 1, .outcome = task_outcome{{.rows = {std::string(2 * 1024 * 1024, 'x')}}}}};
    REQUIRE(first.service.commands().push(outgoing_peer_message{{.to = "two", .message = long_answer}}));
    const relayed_outcome later{{.number = 2, .outcome = task_outcome{{.rows = {std::string(100'000, 'y')}}}}};
    REQUIRE(first.service.commands().push(outgoing_peer_message{{.to = "two", .message = later}}));
    const auto received = second.wait(peer_event_kind::received);
    REQUIRE(received);
    CHECK((*received)->message == peer_message{later});
    CHECK(second.service.counters().at("peer_messages_dropped_total") == 1);
}

// Guards against a statement that its caller could send and that no daemon passes on.
TEST_CASE("a statement without room is answered as not run", "[peer]")
{
    const std::string one = standin::free_address();
    running_peer first({.self = peer_hello{{.daemon = "one"}}, .listen = one, .max_output_bytes = 1024 * 1024});
    running_peer second({.self = peer_hello{{.daemon = "two"}}, .seeds = {one}});
    REQUIRE(first.wait(peer_event_kind::connected));
    const relayed_statement statement{
        {.number = 9,
         .request = task_request{
             {.query = parsed_statement{{.verb = statement_verb::read, .text = std::string(2 * 1024 * 1024, 'x')}}}}}};
    REQUIRE(first.service.commands().push(outgoing_peer_message{{.to = "two", .message = statement}}));
    const auto received = first.wait(peer_event_kind::received);
    REQUIRE(received);
    const auto& outcome = std::get<relayed_outcome>((*received)->message);
    CHECK(outcome->number == 9);
    REQUIRE(outcome->outcome->failure);
    CHECK((*outcome->outcome->failure)->kind == error_kind::overloaded);
}

// Guards against statements and transactions of a former run of a peer that are taken for those of its new run.
TEST_CASE("a restarted peer is reported as lost before its new run is connected", "[peer]")
{
    const std::uint16_t port = standin::free_port();
    running_peer subject("one", "127.0.0.1:" + std::to_string(port), {});
    boost::asio::io_context context;
    const peer_hello former{{.daemon = "two", .incarnation = 1}};
    const peer_hello restarted{{.daemon = "two", .incarnation = 2}};
    auto former_socket = connect_as(context, port, former);
    REQUIRE(subject.wait(peer_event_kind::connected));
    const auto restarted_socket = connect_as(context, port, restarted);
    const auto next = [&] {
        return subject.events.pop_for(std::chrono::seconds(5));
    };
    const auto lost = next();
    REQUIRE(lost);
    CHECK((*lost)->kind == peer_event_kind::disconnected);
    CHECK((*lost)->reason == peer_close_reason::restarted);
    const auto connected = next();
    REQUIRE(connected);
    CHECK((*connected)->kind == peer_event_kind::connected);
    CHECK((*connected)->message == peer_message{restarted});
    // The end of the former connection is not a loss of the new run.
    former_socket.close();
    CHECK_FALSE(subject.wait(peer_event_kind::disconnected, std::chrono::milliseconds(300)));
}

// Guards against messages of a former run that arrive over a replaced connection after its end was reported.
TEST_CASE("a restart of a peer also closes the replaced connections of its former run", "[peer]")
{
    const std::uint16_t port = standin::free_port();
    running_peer subject("one", "127.0.0.1:" + std::to_string(port), {});
    boost::asio::io_context context;
    const peer_hello former{{.daemon = "two", .incarnation = 1}};
    auto replaced = connect_as(context, port, former);
    REQUIRE(subject.wait(peer_event_kind::connected));
    const auto kept = connect_as(context, port, former);
    const auto restarted = connect_as(context, port, peer_hello{{.daemon = "two", .incarnation = 2}});
    REQUIRE(subject.wait(peer_event_kind::connected));
    boost::system::error_code ignored;
    boost::asio::write(replaced, boost::asio::buffer(framed(peer_codec::encode(relayed_outcome{{.number = 1}}))),
                       ignored);
    CHECK_FALSE(subject.wait(peer_event_kind::received, std::chrono::milliseconds(300)));
}

// Guards against a bad frame that is accepted, terminates the service, or is not counted.
TEST_CASE("a bad frame closes the connection and is counted", "[peer]")
{
    const std::uint16_t port = standin::free_port();
    running_peer subject("one", "127.0.0.1:" + std::to_string(port), {});
    const std::string hello = peer_codec::encode(all_messages.front());
    const std::string digest = peer_codec::encode(all_messages[1]);
    const std::vector<std::string> faults{std::string("\0\0\0\0", 4), "\xff\xff\xff\xff", framed("nonsense"),
                                          framed(digest), framed(hello) + framed(hello)};
    std::uint64_t expected = 0;
    for (const std::string& fault : faults) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        boost::asio::write(socket, boost::asio::buffer(fault));
        std::string rest;
        boost::system::error_code code;
        boost::asio::read(socket, boost::asio::dynamic_buffer(rest), code);
        CHECK(code); // The subject closed the connection.
        CHECK(subject.service.counters().at("peer_bad_frames_total") == ++expected);
    }
}
