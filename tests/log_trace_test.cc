#include "ctl/log_trace.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronfall;

namespace {

std::string line(const std::string& time, const std::string& rest)
{
    return "2026-10-23T00:36:" + time + " INFO " + rest + "\n";
}

/// Log of a daemon that receives a request between the loss of a leader and the discovery of the next one.
const std::string lost_leader =
    line("01.100", "event=leader_found service=ledger member=m1 position=1.4") +
    line("02.200", "event=leader_lost service=ledger member=m1 reason=silent term=1") +
    line("02.300", R"(event=request_answered id=q7 session=3 database=fresh outcome=no_primary )"
                   R"(detail="no_primary retry_after_ms=50" member=none took_us=12)") +
    line("02.900", "event=leader_found service=ledger member=m2 position=2.4");

} // namespace

TEST_CASE("a request rejected without a leader is traced to the loss of the leader", "[log_trace]")
{
    // The trace must show the cause of the rejection, not only the rejection.
    const auto found = explain_request("q7", {{.name = "d0", .text = lost_leader}});
    REQUIRE(found.lines.size() == 1);
    CHECK(found.conclusion.find("rejected, not executed") != std::string::npos);
    CHECK(found.conclusion.find("reason=silent") != std::string::npos);
    CHECK(found.context.size() == 3);
}

TEST_CASE("the trace of a request with unknown outcome names the member that it was sent to", "[log_trace]")
{
    const std::string text =
        line("01.100", "event=statement_sent id=q8 session=6 member=m1 connection=2 kind=single leader=yes") +
        line("01.200", "event=member_reach member=m1 reach=silent") +
        line("01.300", R"(event=request_answered id=q8 session=6 outcome=outcome_unknown )"
                       R"(detail="no answer from member m1" member=m1 took_us=11525)");
    const auto found = explain_request("q8", {{.name = "d0", .text = text}});
    CHECK(found.conclusion.find("outcome unknown: sent to m1") != std::string::npos);
    REQUIRE(found.context.size() == 1);
    CHECK(found.context.front().find("member_reach") != std::string::npos);
}

TEST_CASE("the trace of a slow request names the members that refused it before", "[log_trace]")
{
    const std::string text =
        line("04.617", "event=statement_sent id=q9 session=1 member=m2 attempt=1") +
        line("04.618", "event=statement_requeued id=q9 member=m2 reason=replica_behind") +
        line("04.620", "event=statement_sent id=q9 session=1 member=m1 attempt=2") +
        line("05.156", "event=request_answered id=q9 session=1 outcome=done member=m1 took_us=540057");
    const auto found = explain_request("q9", {{.name = "d0", .text = text}, {.name = "d1", .text = lost_leader}});
    CHECK(found.lines.size() == 4);
    CHECK(found.conclusion == "d0: answered by m1 after 540057 us, 2 attempts; refused before by: m2 "
                              "(replica_behind)\n");
}

TEST_CASE("the trace distinguishes an unknown request id from an unanswered request", "[log_trace]")
{
    CHECK(explain_request("q0", {{.name = "d0", .text = lost_leader}}).lines.empty());
    const std::string text = line("01.100", "event=statement_sent id=q1 session=6 member=m1");
    CHECK(explain_request("q1", {{.name = "d0", .text = text}}).conclusion.find("not answered") != std::string::npos);
}
