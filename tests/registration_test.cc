#include "registration/daemon_registrar.h"
#include "registration/fencing_token.h"
#include "registration_codec/registration_codec.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::seconds(1000)};
const std::string own_key = "citronfall/daemons/d1";
const std::string lock_key = "citronfall/locks/ledger";

/// The registrar of daemon "d1" of a service "ledger", whose calls to the store are answered by the test.
struct registrar_fixture {
    struct sent_call {
        call_number number;
        call_body body;
    };

    registrar_fixture()
        : directory({.keys = {.configuration = "op/config",
                              .members = "servers/",
                              .daemons = "citronfall/daemons/",
                              .failover_locks = "citronfall/locks/"},
                     .read_service_configuration =
                         [](std::string_view) {
                             const route ledger{{.name = "r", .database = "db", .service = "ledger"}};
                             return result<service_configuration>(
                                 service_configuration{{.version = 1, .routes = {{"db", ledger}}}});
                         },
                     .read_daemon = registration_codec::read_daemon,
                     .read_failover_lock = registration_codec::read_failover_lock,
                     .log = ignore})
    {
        auto made = daemon_registrar::make(
            {.self = self,
             .keys = {.daemons = "citronfall/daemons/", .failover_locks = "citronfall/locks/"},
             .claim_order = [this](const std::string&) { return claim_order; },
             .uses_lock = [this](const std::string&) { return changes_primary; },
             .call =
                 [this](call_body body, duration) {
                     sent.push_back({sent.size() + 1, std::move(body)});
                     return sent.back().number;
                 },
             .encode_daemon = [](const daemon_registration& entry) { return registration_codec::encode(entry); },
             .encode_failover_lock = [](const failover_lock& entry) { return registration_codec::encode(entry); },
             .log = ignore},
            directory);
        REQUIRE(ok(made));
        registrar = take(std::move(made));
        directory.apply(store_item{{.key = "op/config", .value = "c", .revision = 1}}, 1, {});
    }

    static void ignore(const std::string&, const std::string&) {}

    /// Runs the registrar until it has made a call of a kind, and returns the call.
    template <class T>
    sent_call await(std::size_t after)
    {
        for (int i = 0; i < 100; ++i) {
            for (std::size_t each = after; each < sent.size(); ++each) {
                if (std::holds_alternative<T>(sent[each].body)) {
                    return sent[each];
                }
            }
            now += 50ms;
            registrar->tick(now);
        }
        FAIL("no call");
        return {};
    }

    /// Answers a call with the era of the store.
    void answer(call_number number, store_answer_fields fields)
    {
        fields.number = number;
        fields.era = era;
        registrar->note_era(era, now);
        registrar->handle(store_answer{fields}, now);
    }

    /// Grants the next requested lease and lets the daemon register with it at a revision.
    void register_daemon(lease_number lease, kv_revision revision)
    {
        const auto asked = await<grant_lease>(sent.size());
        answer(asked.number, {.lease = lease, .time_to_live = 10s});
        const auto written = await<change_items>(sent.size());
        apply(own_key, registration_codec::encode(self), revision, lease);
        answer(written.number, {.revision = revision});
    }

    /// Lets the daemon register, and gives it the lock, with `lease`, at a revision.
    void register_and_lock(lease_number lease, kv_revision revision)
    {
        register_daemon(registration_lease, revision - 1);
        const auto asked = await<grant_lease>(sent.size());
        answer(asked.number, {.lease = lease, .time_to_live = 3s});
        const auto written = await<change_items>(sent.size());
        apply(lock_key, lock_value, revision, lease);
        answer(written.number, {.revision = revision});
    }

    /// Runs the registrar until it renews a lease, and returns the call.
    sent_call await_renewal(lease_number lease)
    {
        for (std::size_t after = sent.size();;) {
            const auto renewal = await<renew_lease>(after);
            if (std::get<renew_lease>(renewal.body)->lease == lease) {
                return renewal;
            }
            after = renewal.number;
        }
    }

    void apply(const std::string& key, const std::string& value, kv_revision revision, lease_number lease)
    {
        directory.apply(store_item{{.key = key, .value = value, .revision = revision, .lease = lease}}, era, {});
        registrar->directory_changed(now);
    }

    static constexpr lease_number registration_lease = 900;
    daemon_registration self{{.name = "d1", .peer_address = "127.0.0.1:1", .data_center = "dc", .incarnation = 7}};
    std::string lock_value =
        registration_codec::encode(failover_lock{{.service = "ledger", .holder = "d1", .incarnation = 7}});
    service_directory directory;
    std::optional<std::size_t> claim_order = 0;
    bool changes_primary = false;
    std::vector<sent_call> sent;
    std::unique_ptr<daemon_registrar> registrar;
    store_era era = 1;
    instant now = start;
};

} // namespace

TEST_CASE("fencing tokens grow across a restore that assigns lower revisions", "[registration]")
{
    CHECK(fencing_token({.era = 2, .revision = 1}) > fencing_token({.era = 1, .revision = 1'000'000}));
    CHECK(fencing_token({.era = 3, .revision = 5}) > fencing_token({.era = 2, .revision = 6}));
    CHECK(fencing_token({.era = 2, .revision = 6}) > fencing_token({.era = 2, .revision = 5}));
}

TEST_CASE("a daemon that knows of no restore does not outrank one that does", "[registration]")
{
    // Daemons of releases without eras use the revision as the token.
    CHECK(fencing_token({.era = 1, .revision = 90}) == 90);
    CHECK(fencing_token({.revision = 90}) == 90);
    CHECK(fencing_token({.era = 2, .revision = 60}) > 90);
}

TEST_CASE("a restored store's lease of the same number is not taken for the daemon's own", "[registration]")
{
    registrar_fixture fixture;
    fixture.register_and_lock(1000, 90);
    REQUIRE(fixture.registrar->fence("ledger", fixture.now) == 90U);
    const std::size_t before = fixture.sent.size();
    fixture.era = 2;
    const auto renewal = fixture.await_renewal(1000);
    fixture.answer(renewal.number, {.lease = 1000, .time_to_live = 3s}); // Granted again, to another daemon.
    CHECK_FALSE(fixture.registrar->fence("ledger", fixture.now));
    static_cast<void>(fixture.await<grant_lease>(before));
    for (std::size_t i = before; i < fixture.sent.size(); ++i) {
        CHECK_FALSE(std::holds_alternative<end_lease>(fixture.sent[i].body));
    }
}

TEST_CASE("a daemon claims its lock anew after a restore and gets a higher fencing token", "[registration]")
{
    registrar_fixture fixture;
    fixture.register_and_lock(1000, 90);
    fixture.era = 2;
    fixture.registrar->note_era(2, fixture.now);
    // The copy holds an earlier state of the lock, attached to a lease of that time.
    fixture.apply(lock_key, fixture.lock_value, 40, 990);
    CHECK_FALSE(fixture.registrar->fence("ledger", fixture.now));
    const std::size_t before = fixture.sent.size();
    fixture.register_daemon(990, 51);
    const auto asked = fixture.await<grant_lease>(before + 1); // The first was for the registration.
    fixture.answer(asked.number, {.lease = 991, .time_to_live = 3s});
    std::optional<change_items> claim;
    for (int i = 0; i < 100 && !claim; ++i) {
        fixture.now += 50ms;
        fixture.registrar->tick(fixture.now);
        for (std::size_t each = before; each < fixture.sent.size(); ++each) {
            const auto* change = std::get_if<change_items>(&fixture.sent[each].body);
            if (change != nullptr && (*change)->writes.front()->key == lock_key) {
                claim = *change;
            }
        }
    }
    REQUIRE(claim);
    CHECK((*claim)->expected.front()->revision == 40);
    CHECK((*claim)->writes.front()->lease == 991);
    fixture.apply(lock_key, fixture.lock_value, 52, 991);
    CHECK(fixture.registrar->fence("ledger", fixture.now).value_or(0) > 90);
}

TEST_CASE("a daemon registers again after a restore that lost its registration", "[registration]")
{
    registrar_fixture fixture;
    fixture.register_and_lock(1000, 90);
    fixture.era = 2;
    fixture.registrar->note_era(2, fixture.now);
    const std::size_t before = fixture.sent.size();
    const auto asked = fixture.await<grant_lease>(before);
    fixture.answer(asked.number, {.lease = 1001, .time_to_live = 3s});
    const auto written = fixture.await<change_items>(before);
    CHECK(std::get<change_items>(written.body)->writes.front()->key == own_key);
    CHECK(std::get<change_items>(written.body)->writes.front()->lease == 1001);
}

TEST_CASE("a lease whose grant states no era is kept until the store states a later one", "[registration]")
{
    registrar_fixture fixture;
    const auto asked = fixture.await<grant_lease>(0);
    fixture.registrar->note_era(2, fixture.now);
    fixture.era = 0;
    fixture.answer(asked.number, {.lease = 1000, .time_to_live = 3s});
    fixture.registrar->note_era(2, fixture.now);
    const std::size_t before = fixture.sent.size();
    static_cast<void>(fixture.await<renew_lease>(before));
    fixture.registrar->note_era(3, fixture.now);
    static_cast<void>(fixture.await<grant_lease>(before));
}

TEST_CASE("a late answer to a registration under a lost lease does not count for the next lease", "[registration]")
{
    registrar_fixture fixture;
    fixture.apply(lock_key, registration_codec::encode(failover_lock{{.service = "ledger", .holder = "d2"}}), 2, 900);
    const auto asked = fixture.await<grant_lease>(0);
    fixture.answer(asked.number, {.lease = 1000, .time_to_live = 3s});
    const auto first = fixture.await<change_items>(0);
    fixture.apply(own_key, registration_codec::encode(fixture.self), 9, 1000);
    fixture.era = 2;
    fixture.registrar->note_era(2, fixture.now);
    const auto again = fixture.await<grant_lease>(fixture.sent.size());
    fixture.answer(again.number, {.lease = 1001, .time_to_live = 3s});
    fixture.answer(first.number, {.revision = 9});
    const auto second = fixture.await<change_items>(fixture.sent.size());
    CHECK(std::get<change_items>(second.body)->writes.front()->key == own_key);
    CHECK(std::get<change_items>(second.body)->writes.front()->lease == 1001);
}

TEST_CASE("a daemon that is no longer assigned to a service gives up its failover lock", "[registration]")
{
    // Such a daemon has no connections to the members. It kept the lock for as long as it lived, and no other daemon
    // could replace a lost primary.
    registrar_fixture fixture;
    fixture.register_and_lock(1000, 90);
    fixture.claim_order.reset();
    fixture.changes_primary = true;
    fixture.registrar->directory_changed(fixture.now);
    const std::size_t before = fixture.sent.size();
    const auto releases_lock = [](const call_body& body) {
        const auto* change = std::get_if<change_items>(&body);
        return change != nullptr && (*change)->deletes == std::vector<std::string>{lock_key} &&
               (*change)->expected.front()->revision == 90;
    };
    const auto run_until_released = [&](duration limit) {
        for (const instant end = fixture.now + limit; fixture.now < end;) {
            fixture.now += 50ms;
            fixture.registrar->tick(fixture.now);
            for (std::size_t i = before; i < fixture.sent.size(); ++i) {
                if (releases_lock(fixture.sent[i].body)) {
                    return true;
                }
            }
        }
        return false;
    };
    CHECK_FALSE(run_until_released(2s)); // It finishes the change of primary first.
    fixture.changes_primary = false;
    CHECK(run_until_released(2s));
}
