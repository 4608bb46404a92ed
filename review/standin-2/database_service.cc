#include "database_service.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

/// The log of each member at the start of a case.
constexpr std::uint64_t first_number = 1000;

/// First word of a text; the text is left with the rest.
std::string take_word(std::string& text)
{
    const auto blank = text.find(' ');
    std::string word = text.substr(0, blank);
    text = blank == std::string::npos ? std::string{} : text.substr(blank + 1);
    return word;
}

bool is_order(const std::string& verb)
{
    return verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN";
}

} // namespace

database_service::database_service(event_loop& loop, record& log, database_options options)
    : loop_(loop), record_(log), options_(std::move(options))
{
    for (std::size_t i = 0; i < options_.members.size(); ++i) {
        member& each = make_member(options_.members[i], options_.zones[i]);
        each.leads = i == 0;
        each.log = {commit{.term = term_, .number = first_number, .receipt = "r0", .request_id = "start"}};
    }
    loop_.every(milliseconds(1), [this] { replicate(); });
}

database_service::member& database_service::make_member(const std::string& id, const std::string& zone)
{
    auto made = std::make_unique<member>();
    made->id = id;
    made->zone = zone;
    member& each = *made;
    made->port = std::make_unique<listener>(loop_, [this, &each](const stream_ptr& socket) { accept(each, socket); });
    members_[id] = std::move(made);
    return each;
}

void database_service::add(const std::string& id, const std::string& zone)
{
    record_.add("member " + id + " starts as replica");
    member& each = make_member(id, zone);
    each.log = members_.at(primary())->log;
    write_entry(each);
}

void database_service::drain(const std::string& id)
{
    record_.add("member " + id + " is draining");
    members_.at(id)->draining = true;
    write_entry(*members_.at(id));
}

void database_service::end(const std::string& id, milliseconds entry_time)
{
    record_.add("member " + id + " ends");
    member& at = *members_.at(id);
    at.up = false;
    at.port->stop();
    at.connections.clear();
    loop_.after(entry_time, [this, id] {
        record_.add("entry of " + id + " is removed");
        store_->remove("servers/" + id);
    });
}

void database_service::enter(kv_store& store)
{
    store_ = &store;
    for (const auto& [id, each] : members_) {
        write_entry(*each);
    }
}

void database_service::write_entry(const member& at)
{
    if (store_ != nullptr) {
        store_->put("servers/" + at.id, nlohmann::json{{"Service", options_.name},
                                                       {"Address", at.port->address()},
                                                       {"Zone", at.zone},
                                                       {"Version", "v1"},
                                                       {"Slots", 3},
                                                       {"State", at.draining ? "draining" : "ready"},
                                                       {"WarmupLeftMs", 0},
                                                       {"DbRole", at.leads ? "primary" : "replica"},
                                                       {"Seq", 1},
                                                       {"born", 1'790'000'000'000}}
                                            .dump());
    }
}

std::string database_service::primary() const
{
    for (const auto& [id, each] : members_) {
        if (each->leads) {
            return id;
        }
    }
    return {};
}

void database_service::go_dark(const std::string& id)
{
    member& at = *members_.at(id);
    record_.add("member " + id + " goes dark");
    at.up = false;
    at.port->set_accepting(false);
    for (const auto& [key, each] : at.connections) {
        each->socket->fall_silent();
    }
}

void database_service::come_back(const std::string& id)
{
    member& at = *members_.at(id);
    record_.add("member " + id + " is back, " + (at.leads ? "as primary" : "as replica"));
    at.up = true;
    at.connections.clear();
    std::erase_if(waiting_, [](const unacknowledged& each) { return each.from.expired(); });
    at.port->set_accepting(true);
    write_entry(at);
}

int database_service::promote(const std::string& id)
{
    const auto found = members_.find(id);
    if (found == members_.end() || !found->second->up) {
        return 409;
    }
    if (!found->second->leads) {
        loop_.after(options_.promotion_time, [this, id] { take_lead(id); });
    }
    return 200;
}

/// The member leads the next term with what it has received. Members that were ahead of it are rolled back.
void database_service::take_lead(const std::string& id)
{
    member& next = *members_.at(id);
    if (!next.up || next.leads) {
        return;
    }
    ++term_;
    record_.add("member " + id + " leads term " + std::to_string(term_) + " from position " + position(next));
    for (const auto& [other, each] : members_) {
        each->leads = other == id;
        each->paused = false;
        const auto theirs = std::mismatch(next.log.begin(), next.log.end(), each->log.begin(), each->log.end()).second;
        each->log.erase(theirs, each->log.end());
        write_entry(*each);
    }
    for (const unacknowledged& each : waiting_) {
        if (const auto from = each.from.lock()) {
            from->socket->close(); // The outcome is not known: the former primary leads no more.
        }
    }
    waiting_.clear();
    if (options_.leads) {
        options_.leads(id, next.log);
    }
}

void database_service::accept(member& at, const stream_ptr& socket)
{
    const auto made = std::make_shared<connection>();
    made->socket = socket;
    at.connections[socket.get()] = made;
    const std::weak_ptr<connection> from = made;
    socket->start(
        [this, &at, from] {
            if (const auto alive = from.lock()) {
                receive(at, alive);
            }
        },
        [&at, key = socket.get()] { at.connections.erase(key); });
}

void database_service::receive(member& at, const connection_ptr& from)
{
    std::string& input = from->socket->input;
    for (auto end = input.find("\r\n"); end != std::string::npos; end = input.find("\r\n")) {
        from->lines.push_back(input.substr(0, end));
        input.erase(0, end + 2);
    }
    process_next(at, from);
}

void database_service::process_next(member& at, const connection_ptr& from)
{
    while (!from->busy && !from->lines.empty() && from->socket->open() && at.up) {
        std::string line = from->lines.front();
        from->lines.pop_front();
        const std::string kind = take_word(line);
        if (kind == "STARTUP") {
            start_session(at, from, line);
        } else if (kind == "QUERY") {
            const std::string id = take_word(line);
            from->busy = true;
            run(at, from, id, line);
        } else {
            from->socket->close();
        }
    }
}

void database_service::start_session(member& at, const connection_ptr& from, const std::string& line)
{
    std::string rest = line;
    const std::string service = take_word(rest);
    take_word(rest);
    const bool wrong = service != options_.name || (!rest.empty() && rest != at.id);
    const bool full = at.connections.size() > options_.max_connections;
    if (wrong || full) {
        from->socket->send(wrong ? "ERROR WRONGNODE " + at.id + "\r\n" : "ERROR TOOMANY " + at.id + "\r\n");
        const std::weak_ptr<connection> target = from;
        loop_.after(milliseconds(5), [&at, key = from->socket.get(), target] {
            if (const auto alive = target.lock()) {
                alive->socket->close();
                at.connections.erase(key);
            }
        });
        return;
    }
    from->started = true;
    from->socket->send("READY I " + position(at) + "\r\n");
}

void database_service::run(member& at, const connection_ptr& from, const std::string& id, const std::string& text)
{
    std::string rest = text;
    const std::string verb = take_word(rest);
    if (is_order(verb)) {
        run_order(at, from, text);
    } else if (verb == "ROLLBACK") {
        from->in_transaction = from->failed = false;
        from->writes.clear();
        finish(at, from, "COMPLETE -\r\n");
    } else if (from->failed) {
        if (verb == "COMMIT") {
            from->in_transaction = from->failed = false;
            from->writes.clear();
            finish(at, from, "ERROR ABORTED " + at.id + "\r\n");
        } else {
            refuse(at, from, "MALFORMED");
        }
    } else if (verb == "BEGIN") {
        begin(at, from, rest == "READ", {});
    } else if (verb == "AFTER" && rest.find("BEGIN READ") != std::string::npos) {
        begin(at, from, true, take_word(rest));
    } else if (verb == "SET" || verb == "DEALLOCATE") {
        finish(at, from, "COMPLETE -\r\n");
    } else if (verb == "RESET") {
        from->prepared.clear();
        finish(at, from, "COMPLETE -\r\n");
    } else if (verb == "PREPARE") {
        const std::string name = take_word(rest);
        from->prepared[name] = take_word(rest) == "WRITE";
        finish(at, from, "COMPLETE -\r\n");
    } else {
        const std::weak_ptr<connection> target = from;
        loop_.after(options_.work_time, [this, &at, target, id, text] {
            if (const auto alive = target.lock(); alive && alive->socket->open() && at.up) {
                run_work(at, alive, id, text);
            }
        });
    }
}

/// Runs a read, a write or a commit.
void database_service::run_work(member& at, const connection_ptr& from, const std::string& id, const std::string& text)
{
    std::string rest = text;
    std::string verb = take_word(rest);
    if (verb == "AFTER") {
        if (!holds(at, take_word(rest))) {
            refuse(at, from, "LAGGING");
            return;
        }
        verb = take_word(rest);
    }
    if (verb == "EXECUTE") {
        const auto found = from->prepared.find(take_word(rest));
        if (found == from->prepared.end()) {
            refuse(at, from, "NOSTMT");
            return;
        }
        verb = found->second ? "WRITE" : "READ";
    }
    const bool plain = from->in_transaction && !from->read_only;
    const bool needs_lead = verb == "WRITE" || (plain && !(verb == "COMMIT" && from->writes.empty()));
    if (needs_lead && (!at.leads || from->read_only)) {
        refuse(at, from, "READONLY");
        return;
    }
    if (options_.ran) {
        options_.ran(at.id, id, text);
    }
    const std::string receipt = "r" + std::to_string(++last_receipt_);
    if (verb == "READ") {
        finish(at, from, "ROW " + id + "\r\nCOMPLETE " + receipt + "\r\n");
    } else if (verb == "WRITE" && from->in_transaction) {
        from->writes.push_back(id);
        finish(at, from, "COMPLETE " + receipt + "\r\n");
    } else if (verb == "WRITE" || (verb == "COMMIT" && !from->writes.empty())) {
        from->in_transaction = false;
        from->writes.clear();
        commit_writes(at, from, id);
    } else {
        from->in_transaction = false;
        finish(at, from, "COMPLETE " + receipt + "\r\n");
    }
}

void database_service::run_order(member& at, const connection_ptr& from, const std::string& text)
{
    std::string rest = text;
    const std::string verb = take_word(rest);
    if (verb != "STATUS") {
        ++orders_;
        const bool late = options_.is_late && options_.is_late(at.id, verb);
        record_.add("order " + text + " to " + at.id + (late ? " gets no answer" : " carried out"));
        if (late) {
            ++late_orders_;
            loop_.after(options_.late_time, [this, &at, text] {
                record_.add("order " + text + " to " + at.id + " carried out late");
                carry_out(at, text);
            });
            return; // The connection returns nothing further.
        }
        carry_out(at, text);
    }
    finish(at, from, "ROW " + status_row(at) + "\r\nCOMPLETE -\r\n");
}

void database_service::carry_out(member& at, const std::string& text)
{
    std::string rest = text;
    const std::string verb = take_word(rest);
    if (!at.up) {
        return;
    }
    if (verb == "RESUME") {
        at.paused = false;
    } else if (verb == "PAUSE" && !at.leads && std::stoull(rest) > term_) {
        at.paused = true;
    } else if (verb == "STEPDOWN" && at.leads && std::stoull(rest) > term_) {
        at.leads = false;
        write_entry(at);
    }
}

std::string database_service::status_row(const member& at) const
{
    return std::string(at.leads ? "primary " : "replica ") + std::to_string(term_) + " " + position(at) + " 0 1 0 " +
           std::to_string(at.connections.size());
}

void database_service::begin(member& at, const connection_ptr& from, bool read_only, const std::string& after)
{
    if (!read_only && !at.leads) {
        refuse(at, from, "READONLY");
    } else if (!after.empty() && !holds(at, after)) {
        refuse(at, from, "LAGGING");
    } else {
        from->in_transaction = true;
        from->read_only = read_only;
        from->failed = false;
        from->writes.clear();
        finish(at, from, "COMPLETE -\r\n");
    }
}

void database_service::refuse(member& at, const connection_ptr& from, const std::string& code)
{
    from->failed = from->in_transaction;
    finish(at, from, "ERROR " + code + " " + at.id + "\r\n");
}

/// Ends the answer to a statement and turns to the next one.
void database_service::finish(member& at, const connection_ptr& from, const std::string& answer)
{
    const std::string state = from->failed ? "E" : from->in_transaction ? "T" : "I";
    from->socket->send(answer + "READY " + state + " " + position(at) + "\r\n");
    from->busy = false;
    process_next(at, from);
}

void database_service::commit_writes(member& at, const connection_ptr& from, const std::string& id)
{
    const commit entry{.term = term_,
                       .number = at.log.back().number + 1,
                       .receipt = "c" + std::to_string(++last_receipt_),
                       .request_id = id};
    at.log.push_back(entry);
    committed_at_[entry.receipt] = event_loop::now();
    waiting_.push_back({.from = from, .entry = entry});
}

/// Brings the replicas up to date and acknowledges the commits that enough of them have received.
void database_service::replicate()
{
    const std::string id = primary();
    if (id.empty() || !members_.at(id)->up) {
        return;
    }
    member& leader = *members_.at(id);
    const auto limit = event_loop::now() - options_.replication_time;
    for (const auto& [other, each] : members_) {
        if (!each->up || each->paused || each.get() == &leader) {
            continue;
        }
        while (each->log.size() < leader.log.size() && committed_at_[leader.log[each->log.size()].receipt] <= limit) {
            each->log.push_back(leader.log[each->log.size()]);
        }
    }
    const auto received = [this, &leader](const commit& entry) {
        unsigned count = 0;
        for (const auto& [other, each] : members_) {
            const bool has =
                each->log.size() > entry.number - first_number && each->log[entry.number - first_number] == entry;
            count += each.get() != &leader && has ? 1 : 0;
        }
        return count >= options_.sync_replicas;
    };
    std::vector<unacknowledged> left;
    for (const unacknowledged& each : std::exchange(waiting_, {})) {
        const auto from = each.from.lock();
        if (!from || !from->socket->open()) {
            continue;
        }
        if (received(each.entry)) {
            finish(leader, from, "COMPLETE " + each.entry.receipt + "\r\n");
        } else {
            left.push_back(each);
        }
    }
    waiting_.insert(waiting_.end(), left.begin(), left.end());
}

std::string database_service::position(const member& at) const
{
    const commit& last = at.log.back();
    return std::to_string(last.term) + "." + std::to_string(last.number);
}

bool database_service::holds(const member& at, const std::string& position) const
{
    const auto dot = position.find('.');
    const std::pair<std::uint64_t, std::uint64_t> wanted{std::stoull(position.substr(0, dot)),
                                                         std::stoull(position.substr(dot + 1))};
    const commit& last = at.log.back();
    return std::pair<std::uint64_t, std::uint64_t>{last.term, last.number} >= wanted;
}

} // namespace review
