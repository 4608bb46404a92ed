#include "ctl/command_table.h"
#include "document/document_proposal.h"
#include "document/member_warm_up.h"
#include "document/unrecorded_change_detector.h"
#include "document_codec/document_codec.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace citronfall;

namespace {

using problems = std::vector<document_problem>;

std::string read_file(const std::string& name)
{
    std::ifstream file(CITRONFALL_SOURCE_DIR "/" + name);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

document_state decoded(const std::string& text)
{
    auto read = document_codec::decode(text);
    REQUIRE(std::holds_alternative<document_state>(read));
    return std::get<document_state>(std::move(read));
}

document_state accepted(const document_state& current, const document_proposal& proposal)
{
    auto next = apply_proposal(current, proposal);
    const auto* refused = std::get_if<problems>(&next);
    INFO((refused == nullptr ? std::string{} : refused->front().text()));
    REQUIRE(refused == nullptr);
    return std::get<document_state>(std::move(next));
}

document_state example()
{
    const auto file = decoded(read_file("examples/kapot.json"));
    return accepted({}, document_proposal{{.author = "asha",
                                           .team = "network",
                                           .reason = "first",
                                           .time = 1,
                                           .nonce = "n1",
                                           .base = {},
                                           .sections = file->sections}});
}

document_proposal change(const document_state& base, document_part_id part, const std::string& content,
                         const std::string& team, const std::string& nonce)
{
    document_section section = base->sections.at(part);
    section = with(section, [&](document_section_fields& fields) { fields.content = content; });
    return document_proposal{{.author = "dan",
                              .team = team,
                              .reason = "trial",
                              .time = 2,
                              .nonce = nonce,
                              .base = base,
                              .sections = {{part, section}}}};
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

bool mentions(const problems& list, const std::string& text)
{
    return std::any_of(list.begin(), list.end(),
                       [&](const document_problem& each) { return each.text().find(text) != std::string::npos; });
}

} // namespace

// Guards against example documents that the daemons refuse or whose sizes differ from docs/design.md section 1.
TEST_CASE("the examples are valid and have the stated sizes", "[document]")
{
    struct expected {
        const char* file;
        const char* database;
        std::uint32_t connections;
    };
    for (const expected& each :
         {expected{"examples/kapot.json", "kapot-ledger", 20}, expected{"examples/alba.json", "rezervari-db", 35}}) {
        INFO(each.file);
        const auto read = document_codec::read(read_file(each.file));
        REQUIRE(std::holds_alternative<operator_config>(read));
        const auto& groups = std::get<operator_config>(read)->groups;
        CHECK(groups.size() == 3);
        for (const auto& [name, group] : groups) {
            CHECK(group->database == each.database);
            CHECK(group->members.size() == 3);
            CHECK(group->slots_per_member == 3);
            CHECK(group->connections_per_member == each.connections);
        }
    }
}

// Guards against accepting an invalid document, and against error messages that do not tell place and reason.
TEST_CASE("an invalid document is refused with section, path, value found and allowed values", "[document]")
{
    struct fault {
        const char* from;
        const char* to;
        const char* expected;
    };
    const auto faults = std::vector<fault>{
        {R"("leaving": [])", R"("leaving": [{"group":"ledger-1","member":"x"}])",
         "section maintenance, leaving[0].member: found ledger-1/x, allowed a declared member"},
        {R"("class": "roster")", R"("class": "nobody")",
         "section staleness, classes[0].class: found kapot/nobody, allowed a declared class"},
        {R"("tenant": "kapot", "name": "booking")", R"("tenant": "gone", "name": "booking")",
         "section tenants, classes[0].tenant: found gone, allowed a declared tenant"},
        {R"("status_interval_ms": 100)", R"("status_interval_ms": 0)",
         "section routing, status_interval_ms: found 0, allowed an integer from 1"},
        {R"("status_interval_ms": 100)", R"("status_interval_ms": "fast")", "section routing, status_interval_ms"},
        {R"("long_request_percent": 34)", R"("long_request_percentage": 34)",
         "section limits, long_request_percentage: found an unknown key"},
        {R"("ledger-1-b")", R"("ledger-1-a")", "unique names within the group"},
        {R"("slots_per_member": 3,)", "", "section databases, groups[0].slots_per_member: found nothing"},
        {R"("127.0.0.1:7101")", R"("ledger.example:7101")", "allowed ip:port with a numeric IP address"},
        {R"("routing": {)", R"("routes": {)", "routes: found an unknown key"},
    };
    const std::string text = read_file("examples/kapot.json");
    for (const fault& each : faults) {
        INFO(each.to);
        const auto read = document_codec::read(replaced(text, each.from, each.to));
        REQUIRE(std::holds_alternative<problems>(read));
        const auto& list = std::get<problems>(read);
        INFO(list.front().text());
        CHECK(mentions(list, each.expected));
    }
    CHECK(std::holds_alternative<problems>(document_codec::read("{")));
    CHECK(std::holds_alternative<problems>(document_codec::read("[]")));
    CHECK(std::holds_alternative<problems>(document_codec::read(std::string(1'000'001, ' '))));
}

// Guards against data loss when a document is encoded, decoded, or sent in parts.
TEST_CASE("a document is unchanged after encoding and decoding, and after splitting and joining", "[document]")
{
    const auto document = example();
    CHECK(decoded(document_codec::encode(document)) == document);
    CHECK(decoded(document_codec::encode_readable(document)) == document);
    const auto joined = document_codec::join(document->revision, document_codec::split(document));
    REQUIRE(std::holds_alternative<document_state>(joined));
    CHECK(std::get<document_state>(joined) == document);
    CHECK(unrecorded_parts(document).empty());
}

// Guards against lost updates, changes by teams that do not own the section, and revisions that do not increase.
TEST_CASE("changes are merged, refused unless made by the owner, and conflicts name the other change", "[document]")
{
    const auto base = example();
    const auto routed =
        accepted(base, change(base, document_part_id::routing, R"({"replica_wait_ms":5})", "network", "n2"));
    CHECK(routed->revision == base->revision + 1);
    CHECK(routed->sections.at(document_part_id::routing)->revision == routed->revision);
    CHECK(routed->sections.at(document_part_id::limits) == base->sections.at(document_part_id::limits));

    const auto merged = accepted(routed, change(base, document_part_id::staleness, R"({"classes":[]})", "desk", "n3"));
    CHECK(merged->sections.at(document_part_id::routing) == routed->sections.at(document_part_id::routing));
    CHECK(merged->history.size() == 3);

    const auto late = apply_proposal(merged, change(base, document_part_id::routing, "{}", "network", "n4"));
    REQUIRE(std::holds_alternative<problems>(late));
    CHECK(mentions(std::get<problems>(late), "revision 2 by dan (trial)"));

    const auto foreign = apply_proposal(base, change(base, document_part_id::routing, "{}", "desk", "n5"));
    REQUIRE(std::holds_alternative<problems>(foreign));
    CHECK(mentions(std::get<problems>(foreign), "found a change by desk, allowed changes by network"));

    CHECK(accepted(base, change(base, document_part_id::routing, base->sections.at(document_part_id::routing)->content,
                                "network", "n6")) == base);
    const auto unsigned_change = with(change(base, document_part_id::routing, "{}", "network", "n7"),
                                      [](document_proposal_fields& fields) { fields.reason.clear(); });
    CHECK(std::holds_alternative<problems>(apply_proposal(base, unsigned_change)));
    const auto behind = with(change(base, document_part_id::routing, "{}", "network", "n8"),
                             [](document_proposal_fields& fields) { fields.min_revision = 40; });
    CHECK(accepted(base, behind)->revision == 41);
}

// Guards against a history that grows without bound or drops the last change of a section.
TEST_CASE("the history is bounded and keeps the last change of every section", "[document]")
{
    auto document = example();
    for (int i = 0; i < 300; ++i) {
        const std::string content = "{\"replica_wait_ms\":" + std::to_string(i) + "}";
        document =
            accepted(document, change(document, document_part_id::routing, content, "network", std::to_string(i)));
    }
    CHECK(document->history.size() <= max_history + section_count + 1);
    CHECK(unrecorded_parts(document).empty());
    CHECK(document->history.front()->nonce == "n1");
}

// Guards against direct edits of the stored document that pass as accepted changes.
TEST_CASE("each unrecorded edit of the stored document is detected in the section concerned", "[document]")
{
    struct unrecorded_change_case {
        const char* from;
        const char* to;
        const char* section;
    };
    const std::string text = document_codec::encode(example());
    const auto changes = std::vector<unrecorded_change_case>{
        {R"("status_interval_ms":100)", R"("status_interval_ms":900)", "routing"},
        {R"("long_request_percent":34)", R"("long_request_percent":90)", "limits"},
        {R"("leaving":[])", R"("leaving":[{"group":"ledger-1","member":"ledger-1-a"}])", "maintenance"},
        {R"("max_staleness_ms":500)", R"("max_staleness_ms":50000)", "staleness"},
        {R"("weight":4)", R"("weight":400)", "tenants"},
        {R"("connections_per_member":20)", R"("connections_per_member":2000)", "databases"},
        {R"("owner":"network")", R"("owner":"other")", "limits"},
        {R"("overrides":[])",
         R"("overrides":[{"name":"x","author":"q","reason":"r","time":1,"section":"routing","path":"/a","value":1}])",
         "overrides"},
        {R"(,"revision":1,"sections")", R"(,"revision":7,"sections")", ""},
        {R"(,"nonce":"n1","overrides")", R"(,"nonce":"zz","overrides")", ""},
    };
    for (const unrecorded_change_case& each : changes) {
        INFO(each.to);
        const auto edited = decoded(replaced(text, each.from, each.to));
        const auto found = unrecorded_parts(edited);
        REQUIRE(found.size() == 1);
        CHECK(found.front()->section == each.section);
        // The tool refuses to build on the edit unless the operator adopts it, which records it.
        const auto proposal = change(edited, document_part_id::routing, R"({"replica_wait_ms":5})", "network", "n2");
        CHECK(std::holds_alternative<problems>(apply_proposal(edited, proposal)));
        const auto adopted =
            accepted(edited, with(proposal, [](document_proposal_fields& fields) { fields.adopt = true; }));
        CHECK(unrecorded_parts(adopted).empty());
    }
}

// Guards against an override that has no effect, remains active after its end, or makes the document invalid.
TEST_CASE("overrides replace a section's values until they end", "[document]")
{
    const auto base = example();
    const auto set = [&base](const std::string& path, const std::string& value, std::int64_t end) {
        return accepted(
            base, document_proposal{{.author = "asha",
                                     .team = "network",
                                     .reason = "disk change",
                                     .time = 5,
                                     .nonce = "o1",
                                     .base = base,
                                     .sections = {},
                                     .overrides = std::vector{document_override{{.name = "disk",
                                                                                 .author = "asha",
                                                                                 .reason = "disk change",
                                                                                 .time = 5,
                                                                                 .end = end,
                                                                                 .section = document_part_id::routing,
                                                                                 .path = path,
                                                                                 .value = value}}}}});
    };
    const auto document = set("/automatic_failover", "false", 1000);
    const auto before = document_codec::check(document, 999);
    const auto after = document_codec::check(document, 1000);
    REQUIRE(std::holds_alternative<checked_document>(before));
    REQUIRE(std::holds_alternative<checked_document>(after));
    CHECK_FALSE(std::get<checked_document>(before)->config->routing->automatic_failover);
    CHECK(std::get<checked_document>(before)->next_override_end == 1000);
    CHECK(std::get<checked_document>(after)->config->routing->automatic_failover);
    CHECK(std::get<checked_document>(after)->next_override_end == 0);
    CHECK(std::holds_alternative<problems>(document_codec::check(set("/no/such/place", "1", 0), 0)));
    CHECK(std::holds_alternative<problems>(document_codec::check(set("/status_interval_ms", "0", 0), 0)));
}

// Guards against automation that reverts an operator's manual change of the primary, or that never resumes.
TEST_CASE("automation is paused after a change of the primary that no record accounts for", "[document]")
{
    const instant start{std::chrono::seconds(1000)};
    const auto at = [start](int s) {
        return start + std::chrono::seconds(s);
    };
    std::size_t asked = 0;
    const auto make = [&asked] {
        unrecorded_change_detector detector({.request_failover_record = [&asked](const std::string&) { ++asked; },
                                             .log =
                                                 [](const auto&) {
                                                 }});
        return detector;
    };
    auto detector = make();
    detector.accept(maintenance_config{{.resume_after = std::chrono::seconds(60)}}, at(0));
    detector.observed("g", "a", 1, at(0));
    detector.tick(at(20));
    CHECK_FALSE(detector.automation_paused("g")); // The first observed primary needs no record.

    detector.recorded("g", "b", 2, "entry-1", at(20));
    detector.observed("g", "b", 2, at(21));
    detector.tick(at(40));
    CHECK_FALSE(detector.automation_paused("g")); // A recorded change.

    detector.observed("g", "c", 3, at(40));
    CHECK(asked == 1);
    detector.recorded("g", "c", 3, "entry-2", at(42));
    detector.tick(at(50));
    CHECK_FALSE(detector.automation_paused("g")); // The record followed within the grace period.

    detector.observed("g", "a", 4, at(50));
    detector.tick(at(52));
    CHECK_FALSE(detector.automation_paused("g"));
    detector.tick(at(53));
    REQUIRE(detector.automation_paused("g"));
    CHECK(detector.list().front().text().find("primary a in term 4") != std::string::npos);
    CHECK(detector.list().front().text().find("entry-2") != std::string::npos);
    detector.tick(at(112));
    CHECK(detector.automation_paused("g"));
    detector.tick(at(113));
    CHECK_FALSE(detector.automation_paused("g")); // resume_after has passed.

    detector.observed("g", "b", 5, at(120));
    detector.tick(at(123));
    REQUIRE(detector.automation_paused("g"));
    detector.accept(maintenance_config{{.resume_after = std::chrono::seconds(60), .resume = {{"group:g", 1}}}},
                    at(124));
    CHECK_FALSE(detector.automation_paused("g")); // The maintenance section requests that automation resumes.
}

// Guards against a member that gets its full load immediately after it returns from maintenance.
TEST_CASE("the weight of a returning member grows during its warm-up", "[document]")
{
    const instant start{std::chrono::seconds(1000)};
    const member_key member{{.group = "g", .member = "a"}};
    const operator_config leaving{
        {.leaving = {member}, .maintenance = maintenance_config{{.warm_up = std::chrono::seconds(10)}}}};
    const operator_config back = with(leaving, [](operator_config_fields& fields) { fields.leaving.clear(); });
    member_warm_up warm_up;
    warm_up.accept(back, start);
    CHECK(warm_up.weight(member, start) == 1.0);
    warm_up.accept(leaving, start);
    CHECK(warm_up.weight(member, start) == 0.0);
    warm_up.accept(back, start);
    CHECK(warm_up.weight(member, start) == Approx(0.1));
    CHECK(warm_up.weight(member, start + std::chrono::seconds(5)) == Approx(0.55));
    CHECK(warm_up.weight(member, start + std::chrono::seconds(10)) == 1.0);
}
