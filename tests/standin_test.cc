#include "standin/member_model.h"
#include "standin/platform_model.h"

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace citronfall::standin;

const instant now{std::chrono::hours(1)};
constexpr model_session session = 1;

member_answer call(member_model& member, member_operation operation, term_number term,
                   const std::string& statement = "", const std::string& id = "", model_session from = session)
{
    return member.handle(from,
                         member_call{{.operation = operation,
                                      .term = term,
                                      .request_id = id,
                                      .kind = id.empty() ? statement_kind::read : statement_kind::write,
                                      .statement = statement,
                                      .primary_address = "p:1"}},
                         now);
}

member_model primary_of_term_1(const std::string& name)
{
    member_model member(name);
    member.become_primary(now);
    return member;
}

} // namespace

TEST_CASE("a member refuses calls in another term than its own", "[standin]")
{
    member_model member = primary_of_term_1("a");
    struct row {
        member_operation operation;
        term_number term;
    };
    const row rows[] = {{member_operation::statement, 2}, {member_operation::statement, 0},
                        {member_operation::begin, 2},     {member_operation::commit, 2},
                        {member_operation::resolve, 2},   {member_operation::promote, 2},
                        {member_operation::fence, 0},     {member_operation::follow, 1}};
    for (const row& each : rows) {
        const auto answer = call(member, each.operation, each.term, "book k v", "r1");
        CHECK(answer->verdict == member_verdict::wrong_term);
        CHECK(answer->term == 1);
    }
    CHECK(member.log().size() == 1);
}

TEST_CASE("a fenced member serves only the new term, and only a fenced member can be promoted", "[standin]")
{
    member_model old = primary_of_term_1("a");
    CHECK(call(old, member_operation::fence, 3)->verdict == member_verdict::done);
    CHECK_FALSE(old.primary());
    CHECK(call(old, member_operation::statement, 1, "book k v", "r1")->verdict == member_verdict::wrong_term);
    CHECK(call(old, member_operation::statement, 3, "book k v", "r1")->verdict == member_verdict::not_primary);
    CHECK(call(old, member_operation::promote, 2)->verdict == member_verdict::wrong_term);
    CHECK(call(old, member_operation::promote, 3)->verdict == member_verdict::done);
    CHECK(call(old, member_operation::promote, 3)->verdict == member_verdict::done);
    CHECK(old.log().size() == 2);
    CHECK(old.status().last_position() == log_position{{.term = 3, .index = 2}});

    member_model follower("b");
    CHECK(call(follower, member_operation::fence, 3)->verdict == member_verdict::done);
    CHECK(call(follower, member_operation::follow, 3)->verdict == member_verdict::done);
    CHECK(call(follower, member_operation::promote, 3)->verdict == member_verdict::wrong_term);
}

TEST_CASE("a follower truncates entries that the primary's log does not contain", "[standin]")
{
    member_model a = primary_of_term_1("a");
    member_model b("b");
    static_cast<void>(call(b, member_operation::follow, 1));
    static_cast<void>(call(a, member_operation::statement, 1, "book shared 1", "r1"));
    b.replicate_from(a, now);
    static_cast<void>(call(a, member_operation::statement, 1, "book lost 2", "r2"));
    static_cast<void>(call(b, member_operation::fence, 2));
    static_cast<void>(call(b, member_operation::promote, 2));
    static_cast<void>(call(b, member_operation::statement, 2, "book kept 3", "r3"));
    b.replicate_from(a, now); // Entries of the old primary are not replicated to a member in a higher term.
    CHECK_FALSE(b.value("lost").has_value());
    static_cast<void>(call(a, member_operation::fence, 2));
    static_cast<void>(call(a, member_operation::follow, 2));
    a.replicate_from(b, now);
    CHECK(a.log() == b.log());
    CHECK_FALSE(a.value("lost").has_value());
    CHECK(a.value("kept") == "3");
    CHECK_FALSE(a.status().holds(log_position{{.term = 1, .index = 3}}));
}

TEST_CASE("a request id is executed at most once, and a cancelled one never", "[standin]")
{
    member_model member = primary_of_term_1("a");
    const auto first = call(member, member_operation::statement, 1, "book k v", "r1");
    CHECK(call(member, member_operation::statement, 1, "book k v", "r1") == first);
    CHECK(call(member, member_operation::resolve, 1, "", "r1") == first);
    CHECK(call(member, member_operation::statement, 1, "book k w", "r2")->verdict == member_verdict::conflict);
    CHECK(call(member, member_operation::resolve, 1, "", "r3")->verdict == member_verdict::cancelled);
    CHECK(call(member, member_operation::statement, 1, "book l v", "r3")->verdict == member_verdict::cancelled);
    CHECK_FALSE(member.value("l").has_value());
}

TEST_CASE("transactions of two sessions are isolated and end with their session", "[standin]")
{
    member_model member = primary_of_term_1("a");
    static_cast<void>(call(member, member_operation::begin, 1, "", "", 1));
    static_cast<void>(call(member, member_operation::begin, 1, "", "", 2));
    static_cast<void>(call(member, member_operation::statement, 1, "set k one", "x", 1));
    CHECK(call(member, member_operation::statement, 1, "get k", "", 1)->result == "\"one\"");
    CHECK(call(member, member_operation::statement, 1, "get k", "", 2)->result == "null");
    member.session_closed(1);
    CHECK(call(member, member_operation::commit, 1, "", "c1", 1)->verdict == member_verdict::no_transaction);
    CHECK(call(member, member_operation::commit, 1, "", "c2", 2)->verdict == member_verdict::done);
    CHECK_FALSE(member.value("k").has_value());
}

TEST_CASE("the platform writes only at the expected revision and grants a lease to one holder", "[standin]")
{
    platform_model platform;
    CHECK_FALSE(platform.compare_and_swap("k", 1, "x").has_value());
    const auto first = platform.compare_and_swap("k", 0, "x");
    REQUIRE(first.has_value());
    CHECK_FALSE(platform.compare_and_swap("k", 0, "y").has_value());
    CHECK(platform.compare_and_swap("k", (*first)->revision, "y").has_value());
    CHECK(platform.read("k")->value == "y");
    const duration ttl = std::chrono::seconds(1);
    CHECK(platform.lease("l", "one", ttl, now));
    CHECK_FALSE(platform.lease("l", "two", ttl, now));
    CHECK(platform.lease("l", "one", ttl, now));
    CHECK(platform.lease("l", "two", ttl, now + ttl));
}
