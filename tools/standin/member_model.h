#pragma once

#include "citronfall/instant.h"
#include "citronfall/member_answer.h"
#include "citronfall/member_call.h"
#include "citronfall/member_status.h"
#include "standin/log_entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Id of a session (connection) of a member.
using model_session = std::uint64_t;

/// Model of a database member without sockets: terms, log, statements, transactions and the outcomes of requests.
///
/// Statements: `get KEY`, `list PREFIX`, `set KEY VALUE`, `book KEY VALUE` (conflict if the key exists), `delete KEY`.
/// A prefix `cost MS` states how long the statement holds a slot; the user of the model applies it. Deterministic and
/// single-threaded; time is an argument.
class member_model {
public:
    /// A member in term 1 with an empty log.
    explicit member_model(std::string name) : name_(std::move(name)) {}

    /// Performs a call of a session. The address of a follow call is available from followed().
    [[nodiscard]] member_answer handle(model_session session, const member_call& call, instant now);

    /// Ends a session and rolls back its transaction.
    void session_closed(model_session session) { transactions_.erase(session); }

    /// Current status.
    [[nodiscard]] member_status status() const;

    /// Makes the member the primary of its term, as a promote call does. Used to set up a group.
    void become_primary(instant now);

    /// Replicates the primary's entries that were written at or before `until`, if both are in the same term. Truncates
    /// the part of its own log that the primary's log does not contain.
    void replicate_from(const member_model& primary, instant until);

    /// Whether the member is the primary of its term.
    [[nodiscard]] bool primary() const { return primary_; }

    /// Address of the primary that the member was last told to follow; empty if none.
    [[nodiscard]] const std::string& followed() const { return followed_; }

    /// The log, oldest entry first; element i has log index i + 1.
    [[nodiscard]] const std::vector<log_entry>& log() const { return log_; }

    /// Current value of a key.
    [[nodiscard]] std::optional<std::string> value(const std::string& key) const;

    /// Time for which a statement holds a slot, from its `cost` prefix; `fallback` without one.
    [[nodiscard]] static duration cost(const std::string& statement, duration fallback);

private:
    using changes = std::map<std::string, std::optional<std::string>>;

    struct execution {
        member_verdict verdict = member_verdict::done;
        std::string result;
        changes writes;
    };

    [[nodiscard]] member_answer answer(member_verdict verdict, const log_position& position = {},
                                       std::string result = {}) const;
    [[nodiscard]] member_answer recorded_outcome(const log_entry& entry) const;
    [[nodiscard]] const log_entry* find_request(const std::string& request_id) const;
    [[nodiscard]] execution execute(const std::string& statement, const changes& pending) const;
    [[nodiscard]] std::optional<std::string> read(const std::string& key, const changes& pending) const;
    [[nodiscard]] member_answer statement(model_session session, const member_call& call, instant now);
    [[nodiscard]] member_answer commit(model_session session, const member_call& call, instant now);
    [[nodiscard]] member_answer resolve(const member_call& call, instant now);
    [[nodiscard]] member_answer fence(const member_call& call);
    [[nodiscard]] member_answer promote(const member_call& call, instant now);
    [[nodiscard]] member_answer follow(const member_call& call);
    const log_entry& append(const std::string& request_id, const execution& outcome, instant now);
    void apply_entry(const log_entry& entry);
    void truncate(std::size_t length);

    std::string name_;
    term_number term_ = 1;
    bool primary_ = false;
    bool fenced_ = false; ///< Fenced in its term and not told to follow since; required for a promotion.
    std::string followed_;
    std::vector<log_entry> log_;
    std::vector<term_start> history_;
    std::map<std::string, std::string> data_;
    std::map<std::string, log_index> requests_;
    std::map<model_session, changes> transactions_;
};

} // namespace citronfall::standin
