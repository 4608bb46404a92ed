#pragma once

#include "citronfall/checked_document.h"
#include "citronfall/instant.h"
#include "citronfall/kv_entry.h"
#include "citronfall/result.h"
#include "document/document_proposal.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace citronfall {

/// Hooks of an acceptance.
struct document_committer_options {
    std::function<result<kv_entry>()> read; ///< The platform's entry of the document.
    std::function<result<kv_entry>(kv_revision, const std::string&)> compare_and_swap;
    std::function<std::variant<document_state, std::vector<document_problem>>(const std::string&)> decode;
    std::function<std::string(const document_state&)> encode;
    std::function<std::vector<document_problem>(const document_state&)> check; ///< The whole check of the contents.
    std::function<void(unsigned)> pause;                                       ///< Waits before the given attempt.
    unsigned max_attempts = 20;
};

/// Makes a proposed change the platform's document.
///
/// Each attempt applies the proposal to the present document, checks the result as a whole and writes it by
/// compare-and-swap. When another change wins, the next attempt builds on it, so that changes of different sections are
/// merged and changes of the same section end as a conflict. When an answer is lost, the document is read back: if its
/// history holds the proposal's nonce, the change was accepted, even if other changes followed.
class document_committer {
public:
    explicit document_committer(document_committer_options options) : options_(std::move(options)) {}

    /// The document with the accepted change; or the problems that refuse it, the platform's document being unchanged;
    /// or error: connect_failed (not accepted), outcome_unknown (perhaps accepted; trying again with the same nonce is
    /// safe). Calls hooks that may wait.
    [[nodiscard]] std::variant<document_state, std::vector<document_problem>, error>
    commit(const document_proposal& proposal) const;

    /// The present document; revision 0 if there is none.
    [[nodiscard]] std::variant<document_state, std::vector<document_problem>, error> current() const;

private:
    document_committer_options options_;
};

} // namespace citronfall
