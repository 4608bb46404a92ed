#include "support/virtual_deployment.h"

#include <iostream>
#include <map>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace citronfall::testing;
using std::chrono::milliseconds;

/// A trivial proxy as the reference: it sends one request at a time to the first member, without retries or checks. It
/// gives no answer while that member is cut off.
class reference_proxy {
public:
    explicit reference_proxy(instant now) : primary_("a"), now_(now) { primary_.become_primary(now); }

    std::optional<member_answer> run(const std::string& statement, const std::string& id, statement_kind kind)
    {
        if (partitioned) {
            return std::nullopt;
        }
        return primary_.handle(1,
                               member_call{{.operation = member_operation::statement,
                                            .term = 1,
                                            .request_id = id,
                                            .kind = kind,
                                            .statement = statement}},
                               now_);
    }

    bool partitioned = false;

private:
    standin::member_model primary_;
    instant now_;
};

/// Sends one request through a random daemon. Returns the answer, or nothing after three seconds.
std::optional<caller_answer> ask(virtual_deployment& deployment, const std::string& statement, const std::string& id,
                                 statement_kind kind, session_token& session)
{
    std::optional<caller_answer> answer;
    virtual_time& time = deployment.time();
    const instant end = time.now() + std::chrono::seconds(3);
    deployment.submit(deployment.daemons()[time.draw(deployment.daemons().size())],
                      {.tenant = virtual_deployment::tenant,
                       .class_name = virtual_deployment::booking_class,
                       .group = virtual_deployment::group_name,
                       .kind = kind,
                       .statement = statement,
                       .request_id = id,
                       .deadline = time.now() + std::chrono::seconds(2),
                       .session = session},
                      [&answer](const caller_answer& reported) { answer = reported; });
    while (!answer && time.now() < end) {
        time.run_until(time.now() + milliseconds(1));
    }
    if (answer) {
        session = (*answer)->session;
    }
    return answer;
}

} // namespace

TEST_CASE("the daemons give the same answers as a trivial proxy", "[differential]")
{
    // Writes during the partition run on one side only. Their keys are not used before or after it, so that they do not
    // affect the comparison.
    constexpr std::uint64_t seeds = 40;
    constexpr int requests = 90;
    int compared = 0;
    int unanswered = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        virtual_deployment deployment({.seed = seed});
        deployment.time().run_until(deployment.time().now() + std::chrono::seconds(1));
        reference_proxy reference(deployment.time().now());
        session_token session;
        for (int i = 0; i < requests; ++i) {
            if (i == requests / 3) {
                deployment.group().partition("a");
                reference.partitioned = true;
            }
            if (i == requests * 2 / 3) {
                deployment.group().heal("a");
                reference.partitioned = false;
                deployment.time().run_until(deployment.time().now() + std::chrono::seconds(2));
            }
            if (i == requests / 6) {
                deployment.group().lag(milliseconds(deployment.time().draw(100)));
                deployment.platform().outage(seed % 2 == 0);
            }
            if (i == requests / 4) {
                deployment.platform().outage(false);
            }
            const std::string key =
                "slot-" + std::to_string(i * 3 / requests) + "-" + std::to_string(deployment.time().draw(8));
            const bool write = deployment.time().draw(2) == 0;
            const std::string id = write ? "r" + std::to_string(i) : "";
            const std::string statement = write ? "book " + key + " " + id : "get " + key;
            const auto kind = write ? statement_kind::write : statement_kind::read;
            const auto expected = reference.run(statement, id, kind);
            const auto given = ask(deployment, statement, id, kind, session);
            if (!expected) {
                ++unanswered;
                continue;
            }
            ++compared;
            INFO("seed " << seed << ", request " << i << ": " << statement);
            REQUIRE(given.has_value());
            INFO((*given)->detail);
            CHECK((*given)->result == (*expected)->result);
            CHECK((*given)->failure == ((*expected)->verdict == member_verdict::conflict
                                            ? std::optional(error_kind::conflict)
                                            : std::nullopt));
        }
    }
    std::cout << "differential: seeds 1 to " << seeds << ", compared " << compared << ", naive proxy without answer "
              << unanswered << '\n';
}
