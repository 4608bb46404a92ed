#include "relay/statement_relay.h"

#include "core/run_numbers.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Numbers from here on are assigned by the relay; the regular counters never get that far.
constexpr std::uint64_t first_relay_number = 1ULL << run_number_bits;

/// Added to the statement's own timeout for the round trip to the peer.
constexpr duration round_trip_allowance = std::chrono::milliseconds(50);

std::string log_fields(const std::string& peer, std::uint64_t transaction)
{
    return "peer=" + peer + " transaction=" + std::to_string(transaction);
}

/// Time beyond the limit on idle transactions after which this daemon ends one of a peer. The peer ends it at the
/// limit; its message is held back for 1.3 s at most before the connection is taken for lost.
constexpr duration overdue_end_allowance = std::chrono::seconds(3);

/// A shorter statement is not worth a look at the memory that the others take.
constexpr std::size_t min_counted_bytes = 16 * 1024;

/// The error that the caller gets if the peer is lost while it runs the statement.
error_kind loss_error_kind(const task_request& request)
{
    const bool commit = request->query->verb == statement_verb::commit;
    if (commit || (request->kind == transaction_step::autocommit && request->writes)) {
        return error_kind::outcome_unknown;
    }
    return request->kind == transaction_step::autocommit ? error_kind::statement_failed : error_kind::transaction_lost;
}

/// State of the caller's transaction after the statement has failed.
transaction_state state_after_failure(const task_request& request)
{
    const bool ends = request->kind == transaction_step::autocommit || request->query->verb == statement_verb::commit;
    return ends ? transaction_state::none : transaction_state::failed;
}

} // namespace

statement_relay::statement_relay(statement_relay_hooks hooks, std::uint64_t incarnation)
    : hooks_(std::move(hooks)), last_number_(first_number_of_run(incarnation))
{
}

bool statement_relay::is_remote_connection(connection_number connection)
{
    return connection >= first_relay_number;
}

bool statement_relay::is_relayed_session(session_number session)
{
    return session >= first_relay_number;
}

task_number statement_relay::submit(const std::string& peer, const task_request& request, instant now)
{
    const task_number number = first_relay_number + ++last_number_;
    sent_[number] = {peer, request, now};
    ++pending_[peer];
    deadlines_.arm(now + request->matched_route->statement_timeout + round_trip_allowance, number);
    send(number, sent_[number], now);
    return number;
}

void statement_relay::send(task_number number, const sent_statement& sent, instant now)
{
    const task_request& request = sent.request;
    const auto remote = remote_transactions_.find(request->connection);
    const std::uint64_t transaction = remote == remote_transactions_.end() ? 0 : remote->second.transaction;
    const duration age = request->newest_own_commit ? now - (*request->newest_own_commit)->known_since : duration{};
    hooks_.log("statement_relayed", "id=" + request->request_id + " session=" + std::to_string(request->session) +
                                        " peer=" + sent.peer + " kind=" + transaction_step_name(request->kind) +
                                        " number=" + std::to_string(number) +
                                        " transaction=" + std::to_string(transaction));
    hooks_.send(
        sent.peer,
        relayed_statement{{.number = number, .request = request, .own_commit_age = age, .transaction = transaction}});
}

/// Relays a statement that a leaving daemon refused to another one, if there is one.
bool statement_relay::send_elsewhere(task_number number, const std::string& refused_by, instant now)
{
    sent_statement& sent = sent_.at(number);
    const std::string target = hooks_.target(sent.request);
    if (target.empty() || target == refused_by) {
        return false;
    }
    remove_pending(sent.peer);
    ++pending_[target];
    sent.peer = target;
    send(number, sent, now);
    return true;
}

std::string statement_relay::peer_of(connection_number remote) const
{
    const auto found = remote_transactions_.find(remote);
    return found == remote_transactions_.end() ? std::string{} : found->second.peer;
}

std::optional<statement_location> statement_relay::locate(task_number task) const
{
    const auto found = sent_.find(task);
    if (found == sent_.end()) {
        return std::nullopt;
    }
    return statement_location{{.stage = statement_stage::relayed, .peer = found->second.peer}};
}

bool statement_relay::cancel(task_number task)
{
    if (sent_.contains(task)) {
        hooks_.send(sent_.at(task).peer, relayed_end{{.number = task}});
        give_up(task, "caller_left");
    }
    return task >= first_relay_number;
}

void statement_relay::end(connection_number remote)
{
    const auto found = remote_transactions_.find(remote);
    if (found == remote_transactions_.end()) {
        return;
    }
    hooks_.send(found->second.peer, relayed_end{{.transaction = found->second.transaction}});
    remote_transactions_.erase(found);
}

void statement_relay::handle(const std::string& peer, const relayed_statement& statement, instant now)
{
    if (!hooks_.accepts() && statement->request->kind != transaction_step::in_transaction) {
        refuse(peer, statement, error_kind::leaving);
        return;
    }
    const std::size_t bytes = statement->request->query->text.size();
    if (!has_room(bytes)) {
        handle(peer, relayed_end{{.transaction = statement->transaction}}, now);
        refuse(peer, statement, error_kind::overloaded);
        return;
    }
    const session_number session = first_relay_number + ++last_number_;
    const auto open = idle_transactions_.find(statement->transaction);
    const bool owned = open != idle_transactions_.end() && open->second.peer == peer;
    const task_request request = with(statement->request, [&](task_request_fields& fields) {
        fields.session = session;
        // 0 (no connection) if the transaction has ended or was not opened by this peer.
        fields.connection = owned ? open->second.connection : 0;
        if (fields.newest_own_commit) {
            fields.newest_own_commit = min_read_position{
                {.position = (*fields.newest_own_commit)->position, .known_since = now - statement->own_commit_age}};
        }
    });
    if (statement->transaction != 0 && !owned) {
        hooks_.log("relayed_transaction_unknown",
                   log_fields(peer, statement->transaction) + " id=" + statement->request->request_id);
    }
    running_[session] = {
        .peer = peer, .number = statement->number, .transaction = owned ? statement->transaction : 0, .bytes = bytes};
    if (owned) {
        idle_transactions_.erase(open); // finished() adds it again.
    }
    const task_number task = hooks_.run(request, now);
    if (const auto found = running_.find(session); found != running_.end()) {
        found->second.task = task;
    }
}

/// Whether the statements that run for other daemons leave room for a long one. A short one is always run.
bool statement_relay::has_room(std::size_t bytes) const
{
    if (bytes < min_counted_bytes) {
        return true;
    }
    for (const auto& [session, each] : running_) {
        bytes += each.bytes;
    }
    return bytes <= hooks_.max_running_bytes;
}

void statement_relay::refuse(const std::string& peer, const relayed_statement& statement, error_kind kind)
{
    hooks_.send(peer, relayed_outcome{{.number = statement->number,
                                       .outcome = task_outcome{{.failure = error{{.kind = kind}},
                                                                .state = state_after_failure(statement->request)}}}});
}

void statement_relay::finished(const task_request& request, const task_outcome& outcome, instant now)
{
    const auto found = running_.find(request->session);
    if (found == running_.end()) {
        if (outcome->connection != 0) {
            hooks_.release(outcome->connection, now);
        }
        return;
    }
    const running_statement done = found->second;
    running_.erase(found);
    const std::uint64_t name = outcome->connection == 0 ? 0 : name_of_transaction(request, done);
    if (name != 0) {
        idle_transactions_[name] = {
            .peer = done.peer, .connection = outcome->connection, .statement = done.number, .since = now};
    }
    hooks_.send(done.peer, relayed_outcome{{.number = done.number, .outcome = outcome, .transaction = name}});
}

/// Name of the transaction that a statement has left open.
std::uint64_t statement_relay::name_of_transaction(const task_request& request, const running_statement& done)
{
    if (done.transaction != 0) {
        return done.transaction;
    }
    const std::uint64_t name = first_relay_number + ++last_number_;
    hooks_.log("relayed_transaction_opened",
               log_fields(done.peer, name) + " id=" + request->request_id + " number=" + std::to_string(done.number));
    return name;
}

bool statement_relay::relayed_connection_lost(connection_number connection)
{
    const auto found = std::find_if(idle_transactions_.begin(), idle_transactions_.end(),
                                    [&](const auto& each) { return each.second.connection == connection; });
    if (found == idle_transactions_.end()) {
        return false;
    }
    const auto [name, lost] = *found;
    idle_transactions_.erase(found);
    log_ended(lost.peer, name, "connection_lost");
    hooks_.send(lost.peer, relayed_outcome{{.number = 0, .transaction = name}});
    return true;
}

/// Removes idle transactions and returns them.
statement_relay::idle_transactions statement_relay::take(const std::function<bool(const idle_transaction&)>& is_taken)
{
    idle_transactions taken;
    std::erase_if(idle_transactions_, [&](const auto& each) {
        const bool found = is_taken(each.second);
        if (found) {
            taken.insert(each);
        }
        return found;
    });
    return taken;
}

void statement_relay::end_all(const idle_transactions& ended, const char* reason, instant now)
{
    for (const auto& [name, each] : ended) {
        log_ended(each.peer, name, reason);
        hooks_.send(each.peer, relayed_outcome{{.number = 0, .transaction = name}});
        hooks_.release(each.connection, now);
    }
}

void statement_relay::end_idle_transactions(instant now)
{
    end_all(std::exchange(idle_transactions_, {}), "leaving", now);
}

void statement_relay::end_overdue_transactions(duration limit, instant now)
{
    if (limit != duration{}) {
        const instant due = now - limit - overdue_end_allowance;
        end_all(take([due](const idle_transaction& each) { return each.since < due; }), "overdue", now);
    }
}

void statement_relay::handle(const std::string& peer, const relayed_outcome& outcome, instant now)
{
    if (outcome->number == 0) {
        const auto lost = std::find_if(remote_transactions_.begin(), remote_transactions_.end(), [&](const auto& each) {
            return each.second.peer == peer && each.second.transaction == outcome->transaction;
        });
        if (lost != remote_transactions_.end()) {
            const connection_number connection = lost->first;
            remote_transactions_.erase(lost);
            hooks_.connection_lost(connection, now);
        }
        return;
    }
    const auto found = sent_.find(outcome->number);
    if (found == sent_.end()) {
        hooks_.log("relayed_answer_late",
                   log_fields(peer, outcome->transaction) + " number=" + std::to_string(outcome->number));
        // Already given up: roll back the transaction that the statement may have left open.
        if (outcome->transaction != 0) {
            hooks_.send(peer, relayed_end{{.transaction = outcome->transaction}});
        }
        return;
    }
    const auto& failure = outcome->outcome->failure;
    if (failure && (*failure)->kind == error_kind::leaving && send_elsewhere(found->first, peer, now)) {
        return;
    }
    const sent_statement done = found->second;
    forget_sent(found->first);
    connection_number connection = done.request->connection;
    if (outcome->transaction == 0) {
        remote_transactions_.erase(connection);
        connection = 0;
    } else if (connection == 0) {
        connection = first_relay_number + ++last_number_;
        remote_transactions_[connection] = {peer, outcome->transaction};
    }
    const task_outcome passed = with(outcome->outcome, [&](task_outcome_fields& fields) {
        fields.connection = connection;
        fields.sent_at = done.sent_at;
    });
    hooks_.finished(done.request, passed, now);
}

void statement_relay::handle(const std::string& peer, const relayed_end& end, instant now)
{
    // The answer to the statement may have been lost, so that the peer does not know the name of the transaction.
    const auto open = std::find_if(idle_transactions_.begin(), idle_transactions_.end(), [&](const auto& each) {
        const bool last = end->number != 0 && each.second.statement == end->number;
        return each.second.peer == peer && (last || each.first == end->transaction);
    });
    if (open != idle_transactions_.end()) {
        const connection_number connection = open->second.connection;
        log_ended(peer, open->first, "asked");
        idle_transactions_.erase(open);
        hooks_.release(connection, now);
    }
    const auto running = std::find_if(running_.begin(), running_.end(), [&](const auto& each) {
        return end->number != 0 && each.second.peer == peer && each.second.number == end->number;
    });
    if (running != running_.end()) {
        const task_number task = running->second.task;
        running_.erase(running);
        hooks_.cancel(task, now);
    }
}

void statement_relay::disconnected(const std::string& peer, instant now)
{
    std::vector<task_number> lost;
    for (const auto& [number, each] : sent_) {
        if (each.peer == peer) {
            lost.push_back(number);
        }
    }
    for (const task_number number : lost) {
        fail_lost(number, "peer_lost", now);
    }
    std::vector<connection_number> ended;
    for (const auto& [connection, each] : remote_transactions_) {
        if (each.peer == peer) {
            ended.push_back(connection);
        }
    }
    for (const connection_number connection : ended) {
        remote_transactions_.erase(connection);
        hooks_.connection_lost(connection, now);
    }
    std::vector<task_number> running;
    std::erase_if(running_, [&](const auto& each) {
        if (each.second.peer == peer) {
            running.push_back(each.second.task);
        }
        return each.second.peer == peer;
    });
    for (const task_number task : running) {
        hooks_.cancel(task, now);
    }
    for (const auto& [name, each] : take([&](const idle_transaction& each) { return each.peer == peer; })) {
        log_ended(peer, name, "peer_lost");
        hooks_.release(each.connection, now);
    }
}

void statement_relay::log_ended(const std::string& peer, std::uint64_t transaction, const char* reason) const
{
    hooks_.log("relayed_transaction_ended", log_fields(peer, transaction) + " reason=" + reason);
}

/// Forgets a statement and its transaction. The peer ends the transaction by the statement's number; its name may
/// denote the next one on the connection if the peer is of a release that names transactions by connection.
statement_relay::sent_statement statement_relay::give_up(task_number number, const char* reason)
{
    sent_statement given_up = sent_.at(number);
    hooks_.log("relayed_statement_given_up",
               "id=" + given_up.request->request_id + " session=" + std::to_string(given_up.request->session) +
                   " peer=" + given_up.peer + " number=" + std::to_string(number) + " reason=" + reason);
    forget_sent(number);
    remote_transactions_.erase(given_up.request->connection);
    return given_up;
}

void statement_relay::fail_lost(task_number number, const char* reason, instant now)
{
    const sent_statement lost = give_up(number, reason);
    const error_kind kind = loss_error_kind(lost.request);
    hooks_.finished(lost.request,
                    task_outcome{{.failure = error{{.kind = kind, .detail = "no answer from daemon " + lost.peer}},
                                  .state = state_after_failure(lost.request),
                                  .sent_at = lost.sent_at}},
                    now);
}

bool statement_relay::expire(task_number task, instant now)
{
    if (sent_.contains(task)) {
        hooks_.send(sent_.at(task).peer, relayed_end{{.number = task}});
        fail_lost(task, "timeout", now);
    }
    return task >= first_relay_number;
}

void statement_relay::tick(instant now)
{
    while (const auto number = deadlines_.pop_due(now)) {
        if (sent_.contains(*number)) {
            expire(*number, now);
        }
    }
}

std::size_t statement_relay::pending_answers(const std::string& peer) const
{
    const auto found = pending_.find(peer);
    return found == pending_.end() ? 0 : found->second;
}

void statement_relay::forget_sent(task_number number)
{
    const auto found = sent_.find(number);
    remove_pending(found->second.peer);
    sent_.erase(found);
    deadlines_.drop_void([this](task_number each) { return !sent_.contains(each); });
}

void statement_relay::remove_pending(const std::string& peer)
{
    const auto found = pending_.find(peer);
    if (--found->second == 0) {
        pending_.erase(found);
    }
}

} // namespace citronfall
