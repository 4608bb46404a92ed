#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

/// Kind of a statement.
enum class statement_verb {
    begin,           ///< Opens a transaction that may write.
    begin_read_only, ///< Opens a read-only transaction.
    commit,
    rollback,
    read,
    write,
    set,        ///< Stores a session value.
    prepare,    ///< Prepares a statement shape under a name of the session.
    execute,    ///< Runs a prepared shape.
    deallocate, ///< Drops a prepared name.
};

/// Fields of parsed_statement.
struct statement_fields {
    statement_verb verb = statement_verb::read;
    std::string text;            ///< As the caller sent it; reads, writes and commits are forwarded unchanged.
    std::string name;            ///< Name of the session value or of the prepared shape; empty for other verbs.
    std::string argument;        ///< Value to set, shape to prepare, or the arguments of EXECUTE.
    bool prepares_write = false; ///< PREPARE only: the shape writes.

    friend auto operator<=>(const statement_fields&, const statement_fields&) = default;
};

/// One parsed statement of a caller.
using parsed_statement = immutable<statement_fields>;

/// Whether the statement runs on a member; the session answers all others itself. Thread-safe.
[[nodiscard]] inline bool runs_on_member(const parsed_statement& subject)
{
    switch (subject->verb) {
    case statement_verb::commit:
    case statement_verb::read:
    case statement_verb::write:
    case statement_verb::execute:
        return true;
    case statement_verb::begin:
    case statement_verb::begin_read_only:
    case statement_verb::rollback:
    case statement_verb::set:
    case statement_verb::prepare:
    case statement_verb::deallocate:
        break;
    }
    return false;
}

} // namespace citronfall
