#include "platform/base64.h"
#include "platform/caller_codec.h"
#include "platform/gateway_settings_reader.h"
#include "platform/line_framer.h"
#include "platform/member_codec.h"
#include "platform/platform.h"
#include "platform/standin/store_server_codec.h"
#include "platform/store_codec.h"
#include "platform/store_entry_reader.h"
#include "platform/wire_error_codes.h"

#include "citronfall/error_table.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>

using namespace citronfall;
using namespace citronfall::platform;
using citronfall::platform::standin::store_server_codec;
using namespace std::chrono_literals;

namespace {

caller_event decode_caller_line(const std::string& line)
{
    return caller_codec::decode(7, true, line);
}

const char* good_entry = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":3,)"
                         R"("State":"ready","WarmupLeftMs":0,"DbRole":"replica","Seq":4,"born":17})";

std::string with_replacement(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

store_call call_with(call_body body)
{
    return store_call{{.number = 3, .timeout = 1s, .body = std::move(body)}};
}

} // namespace

TEST_CASE("lines are split at CR LF however the bytes arrive", "[platform_codec]")
{
    line_framer framer;
    const std::string bytes = "QUERY a READ x\r\nTERMINATE\r\n";
    std::vector<std::string> lines;
    for (const char c : bytes) {
        framer.add(std::string(1, c));
        const auto next = framer.next();
        REQUIRE(ok(next));
        if (value_of(next)) {
            lines.push_back(*value_of(next));
        }
    }
    CHECK(lines == std::vector<std::string>{"QUERY a READ x", "TERMINATE"});
    CHECK(framer.pending() == 0);
}

TEST_CASE("bytes that another parser could split differently are refused", "[platform_codec]")
{
    // Guards against smuggling a statement inside another one.
    for (const std::string bytes :
         {"QUERY a READ x\nQUERY b WRITE y z\r\n", "QUERY a READ x\rWRITE y\r\n", "\n", "QUERY a READ \x01\r\n"}) {
        line_framer framer;
        framer.add(bytes);
        CHECK_FALSE(ok(framer.next()));
    }
}

TEST_CASE("an endless line is refused with bounded memory", "[platform_codec]")
{
    line_framer framer;
    const std::string block(64 * 1024, 'x');
    std::size_t added = 0;
    while (added <= 2 * line_framer::max_line) {
        framer.add(block);
        added += block.size();
        const auto next = framer.next();
        if (!ok(next)) {
            CHECK(error_of(next)->kind == error_kind::too_large);
            break;
        }
    }
    CHECK(added <= line_framer::max_line + 2 * block.size());
}

TEST_CASE("statements of callers are parsed by the protocol's grammar", "[platform_codec]")
{
    struct row {
        const char* text;
        statement_verb verb;
    };
    const row rows[] = {{"BEGIN", statement_verb::begin},
                        {"BEGIN READ", statement_verb::begin_read_only},
                        {"COMMIT", statement_verb::commit},
                        {"ROLLBACK", statement_verb::rollback},
                        {"READ 1a4", statement_verb::read},
                        {"WRITE 1a4 some data", statement_verb::write},
                        {"SET name a value", statement_verb::set},
                        {"PREPARE s1 WRITE q2c", statement_verb::prepare},
                        {"EXECUTE s1 1a4 data", statement_verb::execute},
                        {"DEALLOCATE s1", statement_verb::deallocate}};
    for (const row& each : rows) {
        INFO(each.text);
        const auto event = decode_caller_line("QUERY id1 " + std::string(each.text));
        const auto* read = std::get_if<caller_statement>(&event);
        REQUIRE(read != nullptr);
        CHECK((*read)->query->verb == each.verb);
        CHECK((*read)->query->text == each.text);
        CHECK((*read)->request_id == "id1");
    }
}

TEST_CASE("anything else of a caller is malformed", "[platform_codec]")
{
    struct row {
        const char* line;
        bool fatal;
    };
    // The prefix AFTER is for daemons only; "-" is the request id of the daemons' own statements.
    const row rows[] = {{"QUERY id", false},
                        {"QUERY id NONSENSE", false},
                        {"QUERY id AFTER 1.2 READ x", false},
                        {"QUERY id BEGIN WRITE", false},
                        {"QUERY id PREPARE s SIDEWAYS q", false},
                        {"QUERY id SET name", false},
                        {"QUERY id DEALLOCATE a b", false},
                        {"QUERY - READ x", false},
                        {"QUERY  READ x", false},
                        {"STARTUP other me", true},
                        {"HELLO", true},
                        {"", true}};
    for (const row& each : rows) {
        INFO(each.line);
        const auto event = decode_caller_line(each.line);
        const auto* read = std::get_if<malformed_caller_message>(&event);
        REQUIRE(read != nullptr);
        CHECK((*read)->fatal == each.fatal);
    }
}

TEST_CASE("a statement before the session's start ends the connection", "[platform_codec]")
{
    const auto event = caller_codec::decode(7, false, "QUERY id READ x");
    REQUIRE(std::holds_alternative<malformed_caller_message>(event));
    CHECK(std::get<malformed_caller_message>(event)->fatal);
}

TEST_CASE("random bytes never yield an invalid statement", "[platform_codec]")
{
    // Fuzzes the framer and the codec: neither may crash or accept a statement that the grammar does not have.
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        const std::string parts[] = {"QUERY ", "STARTUP ", "READ ", "WRITE ", "\r\n",   "\n",
                                     "\r",     " ",        "id",    "-",      "AFTER ", std::string(1, '\0'),
                                     "\xff"};
        line_framer framer;
        for (int i = 0; i < 200; ++i) {
            framer.add(parts[random() % std::size(parts)]);
            const auto next = framer.next();
            if (!ok(next)) {
                break;
            }
            if (value_of(next)) {
                const auto event = decode_caller_line(*value_of(next));
                if (const auto* read = std::get_if<caller_statement>(&event)) {
                    REQUIRE((*read)->query->text.find_first_of("\r\n") == std::string::npos);
                    REQUIRE((*read)->request_id != "-");
                }
            }
        }
    }
}

TEST_CASE("replies to callers have the protocol's format", "[platform_codec]")
{
    CHECK(caller_codec::encode(session_ready{{.session = 1}}) == "READY I -\r\n");
    CHECK(caller_codec::encode(statement_reply{{.session = 1,
                                                .rows = {"a b"},
                                                .receipt = "7.1",
                                                .state = transaction_state::open,
                                                .position = log_position{{.term = 3, .index = 12}}}}) ==
          "ROW a b\r\nCOMPLETE 7.1\r\nREADY T 3.12\r\n");
    CHECK(caller_codec::encode(
              statement_reply{{.session = 1, .failure = error{{.kind = error_kind::overloaded, .detail = "later"}}}}) ==
          "ERROR BUSY later\r\nREADY I -\r\n");
    CHECK(caller_codec::encode(session_close{{.session = 1}}).empty());
}

TEST_CASE("error codes that promise no effect stand only for errors without effect", "[platform_codec]")
{
    // Guards against a new kind of error that tells callers that nothing was done although the statement may have run.
    const std::string no_effect_codes[] = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"};
    for (const error_row& row : error_table()) {
        INFO(row.name);
        const bool promises_no_effect = std::find(std::begin(no_effect_codes), std::end(no_effect_codes),
                                                  wire_error_code(row.kind)) != std::end(no_effect_codes);
        CHECK((!promises_no_effect || row.effect == outcome::not_run));
    }
}

TEST_CASE("answers of members are collected over several lines", "[platform_codec]")
{
    member_codec codec(5);
    const auto opened = codec.decode("READY I 3.1207");
    REQUIRE((ok(opened) && value_of(opened)));
    CHECK(std::holds_alternative<member_connection_opened>(*value_of(opened)));
    CHECK_FALSE(value_of(codec.decode("ROW q z")));
    CHECK_FALSE(value_of(codec.decode("COMPLETE 7.1f3")));
    const auto answer = codec.decode("READY T 3.1209");
    REQUIRE((ok(answer) && value_of(answer)));
    const auto& reply = std::get<member_reply>(*value_of(answer));
    CHECK(reply->rows == std::vector<std::string>{"q z"});
    CHECK(reply->receipt == "7.1f3");
    CHECK(reply->state == transaction_state::open);
    CHECK(reply->position == log_position{{.term = 3, .index = 1209}});
}

TEST_CASE("an answer that is incomplete or out of order is refused", "[platform_codec]")
{
    // Guards against delivering the rows of one answer with the next one.
    for (const char* line : {"READY I 3.1", "READY X 3.1", "NOISE"}) {
        INFO(line);
        member_codec codec(5);
        REQUIRE(ok(codec.decode("READY I -")));
        REQUIRE(ok(codec.decode("ROW a")));
        CHECK_FALSE(ok(codec.decode(line)));
    }
    member_codec codec(5);
    REQUIRE(ok(codec.decode("READY I -")));
    REQUIRE(ok(codec.decode("COMPLETE r")));
    CHECK_FALSE(ok(codec.decode("ROW after the end")));
}

TEST_CASE("an unknown error code of a member means an unknown outcome", "[platform_codec]")
{
    member_codec codec(5);
    REQUIRE(ok(codec.decode("READY I -")));
    REQUIRE(ok(codec.decode("ERROR SURPRISE x")));
    const auto answer = codec.decode("READY I 1.1");
    const auto& reply = std::get<member_reply>(*value_of(answer));
    REQUIRE(reply->failure);
    CHECK((*reply->failure)->kind == error_kind::outcome_unknown);
}

TEST_CASE("a member that rejects the session says why", "[platform_codec]")
{
    member_codec codec(5);
    const auto answer = codec.decode("ERROR TOOMANY i-1");
    REQUIRE((ok(answer) && value_of(answer)));
    const auto& closed = std::get<member_connection_closed>(*value_of(answer));
    CHECK(closed->end == connection_end_reason::rejected);
    CHECK((*closed->failure)->kind == error_kind::too_many_connections);
}

TEST_CASE("statements for members follow the protocol's grammar", "[platform_codec]")
{
    const log_position after{{.term = 3, .index = 9}};
    const auto line = [](const std::string& id, member_statement body) {
        return member_codec::encode(
            send_queries{{.connection = 1, .queries = {member_query{{.request_id = id, .body = std::move(body)}}}}});
    };
    CHECK(line("q1", forwarded_statement{{.text = "READ x", .after = after}}) == "QUERY q1 AFTER 3.9 READ x\r\n");
    CHECK(line("q1", execute_prepared{{.name = "c1", .argument = "a b"}}) == "QUERY q1 EXECUTE c1 a b\r\n");
    CHECK(line("", begin_read_only{.after = after}) == "QUERY - AFTER 3.9 BEGIN READ\r\n");
    CHECK(line("", step_down{.term = 4}) == "QUERY - STEPDOWN 4\r\n");
    CHECK(line("", prepare_statement{.name = "c1", .shape = prepared_shape{{.shape = "q", .writes = true}}}) ==
          "QUERY - PREPARE c1 WRITE q\r\n");
    CHECK(line("", deallocate_statement{.name = "c1"}) == "QUERY - DEALLOCATE c1\r\n");
}

TEST_CASE("the status row of a member is parsed, and a malformed one refused", "[platform_codec]")
{
    const auto status = member_codec::read_status("replica 3 3.1209 0 12 2 17");
    REQUIRE(ok(status));
    CHECK_FALSE(value_of(status)->leads);
    CHECK(value_of(status)->term == 3);
    CHECK(value_of(status)->received == log_position{{.term = 3, .index = 1209}});
    CHECK(value_of(status)->paused_by == 0);
    const auto paused = member_codec::read_status("replica 3 3.1209 4 12 2 17");
    REQUIRE(ok(paused));
    CHECK(value_of(paused)->paused_by == 4);
    for (const char* row : {"", "king 3 3.1", "primary x 3.1", "replica 3 -"}) {
        CHECK_FALSE(ok(member_codec::read_status(row)));
    }
}

TEST_CASE("a member entry with a missing or mistyped field is refused", "[platform_codec]")
{
    REQUIRE(ok(store_entry_reader::read_member("i-1", good_entry)));
    struct row {
        const char* from;
        const char* to;
    };
    const row rows[] = {{R"("State":"ready")", R"("State":"dancing")"},
                        {R"("Slots":3)", R"("Slots":"3")"},
                        {R"("Slots":3)", R"("Slots":0)"},
                        {R"("Slots":3)", R"("Slots":2.5)"},
                        {R"("Service":"s",)", ""},
                        {R"("Address":"10.0.0.1:80",)", ""},
                        {R"("10.0.0.1:80")", R"("nowhere")"},
                        {R"("Zone":"z")", R"("Zone":5)"},
                        {R"("DbRole":"replica")", R"("DbRole":7)"},
                        {R"("State":"ready",)", ""}};
    for (const row& each : rows) {
        INFO(each.from << " -> " << each.to);
        CHECK_FALSE(ok(store_entry_reader::read_member("i-1", with_replacement(good_entry, each.from, each.to))));
    }
    for (const char* bytes : {"", "{", "\xff\xfe", "[]", "null"}) {
        CHECK_FALSE(ok(store_entry_reader::read_member("i-1", bytes)));
    }
}

TEST_CASE("all fields of a configuration are parsed", "[platform_codec]")
{
    const auto read = store_entry_reader::read_service_configuration(
        R"({"Version":7,"Routes":[{"Name":"r","Host":"db","PathPrefix":"/","Type":"bounded_staleness",)"
        R"("TimeoutMs":2000,"TargetLatencyMs":500,"Priority":2,"Service":"s","MaxStalenessMs":1500}],)"
        R"("Services":[{"Name":"s","MaxConns":22,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}})");
    REQUIRE(ok(read));
    const service_configuration& value = value_of(read);
    CHECK(value->version == 7);
    CHECK(value->routes.at("db")->max_staleness == 1500ms);
    CHECK(value->services.at("s")->sync_replicas == 1);
    CHECK(value->idle_transaction_limit == 3s);
    CHECK_FALSE(ok(store_entry_reader::read_service_configuration(R"({"Version":7})")));
}

TEST_CASE("calls to the store are encoded as the platform expects them", "[platform_codec]")
{
    const auto watch = store_codec::encode(call_with(watch_range{{.prefix = "op/", .after = 411, .wait = 20s}}));
    CHECK(watch->target == "/-/kv-watch?PathPrefix=op/&after=411&WaitMs=20000");
    const auto change = store_codec::encode(
        call_with(change_items{{.expected = {expected_revision{{.key = "k", .revision = 0}}},
                                .writes = {store_item{{.key = "k", .value = "node-1", .lease = 77}}}}}));
    CHECK(change->body.find("\"Value\":\"bm9kZS0x\"") != std::string::npos);
    const auto order =
        store_codec::encode(call_with(promote_member{{.service = "s", .member = "i-1", .holder = "d1", .fence = 12}}));
    CHECK(order->headers.at("Fencing-Token") == "12");
    CHECK(order->headers.at("Lease-Holder") == "d1");
}

TEST_CASE("each status of the platform maps to its outcome", "[platform_codec]")
{
    struct row {
        int status;
        call_outcome expected;
    };
    const row rows[] = {{200, call_outcome::done},     {404, call_outcome::missing},      {409, call_outcome::conflict},
                        {412, call_outcome::conflict}, {410, call_outcome::history_gone}, {429, call_outcome::refused},
                        {503, call_outcome::refused},  {500, call_outcome::refused}};
    for (const row& each : rows) {
        INFO(each.status);
        const auto call = call_with(watch_range{{.prefix = "op/"}});
        const std::string body = each.status == 200 ? R"({"events":[],"StoreRevision":5})" : "";
        CHECK(store_codec::decode(call, http_reply{{.status = each.status, .body = body}})->outcome == each.expected);
    }
}

TEST_CASE("an answer of the platform that cannot be parsed is malformed, not empty", "[platform_codec]")
{
    for (const char* body : {"{", "[]", R"({"events":[{"Key":5}],"StoreRevision":5})", R"({"events":[]})",
                             R"({"events":[{"Key":"k","Revision":1,"Value":"%%%"}],"StoreRevision":5})"}) {
        INFO(body);
        const auto answer =
            store_codec::decode(call_with(watch_range{{.prefix = "op/"}}), http_reply{{.status = 200, .body = body}});
        CHECK(answer->outcome == call_outcome::malformed);
    }
}

TEST_CASE("base64 decodes what it encoded and refuses malformed text", "[platform_codec]")
{
    std::mt19937_64 random(1);
    for (int length = 0; length < 100; ++length) {
        std::string bytes;
        for (int i = 0; i < length; ++i) {
            bytes.push_back(static_cast<char>(random()));
        }
        CHECK(decode_base64(encode_base64(bytes)) == bytes);
    }
    for (const char* text : {"a", "ab=", "a===", "ab$=", "===="}) {
        INFO(text);
        CHECK_FALSE(decode_base64(text));
    }
}

TEST_CASE("settings with unknown keys or wrong values are refused", "[platform_codec]")
{
    const std::string good = R"({"daemon":{"name":"a","region":"r","data_center":"z"},)"
                             R"("callers":{"address":"127.0.0.1:1"},"probe":{"address":"127.0.0.1:2","path":"/ready"},)"
                             R"("store":{"address":"127.0.0.1:3"}})";
    CHECK(std::holds_alternative<gateway_settings>(gateway_settings_reader::read(good)));
    for (const auto& [from, to] : {std::pair{"\"name\"", "\"nome\""}, std::pair{"127.0.0.1:1", "somewhere"},
                                   std::pair{"\"store\"", "\"stare\""}}) {
        INFO(from << " -> " << to);
        const auto read = gateway_settings_reader::read(with_replacement(good, from, to));
        REQUIRE(std::holds_alternative<std::vector<json_problem>>(read));
    }
}

TEST_CASE("the era of the store is read from every answer, and an unreadable one is unknown", "[platform_codec]")
{
    struct row {
        std::map<std::string, std::string> headers;
        std::uint64_t era;
    };
    const row rows[] = {{{{"store-era", "4"}}, 4},  {{}, 0},
                        {{{"store-era", ""}}, 0},   {{{"store-era", "4x"}}, 0},
                        {{{"store-era", "-1"}}, 0}, {{{"store-era", "99999999999999999999"}}, 0}};
    for (const row& each : rows) {
        for (const int status : {200, 404, 410, 412, 429, 503}) {
            INFO(status);
            const auto call = call_with(watch_range{{.prefix = "op/"}});
            const http_reply reply{{.status = status, .headers = each.headers, .body = "{"}}; // Malformed if read.
            CHECK(store_codec::decode(call, reply)->era == each.era);
        }
    }
}

TEST_CASE("the stand-in's answers carry the era of the store, and promotions none", "[platform_codec]")
{
    const auto call = call_with(watch_range{{.prefix = "op/"}});
    const store_answer answer{{.number = 3, .outcome = call_outcome::history_gone, .era = 5}};
    const http_reply reply = store_server_codec::encode(call, answer);
    CHECK(reply->status == 410);
    CHECK(store_codec::decode(call, reply)->era == 5);
    CHECK(store_server_codec::unavailable(5)->headers.at("store-era") == "5");
    const auto order = call_with(promote_member{{.service = "s", .member = "m", .holder = "d", .fence = 1}});
    CHECK(store_server_codec::encode(order, store_answer{})->headers.empty());
}

TEST_CASE("an answer that is not kept is a failure, and the next one is whole", "[platform_codec]")
{
    // Guards against rows that are missing from an answer which counts as a success.
    const platform_adapter adapter = platform::make_platform_adapter("");
    const member_decoder decoder = adapter.make_member_decoder(1);
    const auto next = [&decoder](const std::string& bytes) {
        decoder.add(bytes);
        auto event = decoder.next();
        REQUIRE(ok(event));
        return value_of(event);
    };
    REQUIRE(next("READY I 3.1\r\n"));
    REQUIRE_FALSE(next("ROW a\r\nROW b\r\n"));
    CHECK(decoder.held() > 2);
    decoder.discard_answer();
    CHECK(decoder.held() == 0);
    REQUIRE_FALSE(next("ROW c\r\n"));
    CHECK(decoder.held() == 0);
    const auto ended = next("COMPLETE r1\r\nREADY T 3.2\r\n");
    REQUIRE(ended);
    const auto& discarded = std::get<member_reply>(*ended);
    CHECK(discarded->rows.empty());
    REQUIRE(discarded->failure);
    CHECK((*discarded->failure)->kind == error_kind::statement_failed);
    CHECK(discarded->state == transaction_state::open);
    const auto whole = next("ROW d\r\nCOMPLETE r2\r\nREADY T 3.2\r\n");
    REQUIRE(whole);
    CHECK(std::get<member_reply>(*whole)->rows == std::vector<std::string>{"d"});
    CHECK_FALSE(std::get<member_reply>(*whole)->failure);
}
