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

/// Hooks and settings of a document_committer.
struct document_committer_options {
    std::function<result<kv_entry>()> read; ///< Reads the document's key-value entry.
    std::function<result<kv_entry>(kv_revision, const std::string&)> compare_and_swap;
    std::function<std::variant<document_state, std::vector<document_problem>>(const std::string&)> decode;
    std::function<std::string(const document_state&)> encode;
    std::function<std::vector<document_problem>(const document_state&)> check; ///< Validates all sections.
    std::function<void(unsigned)> pause; ///< Sleeps before the attempt with this number; the first retry is 1.
    unsigned max_attempts = 20;
};

/// Commits a proposed change to the document in the platform's key-value store.
///
/// Each attempt applies the proposal to the stored document, validates the result and writes it with compare-and-swap.
/// If a concurrent change was written first, the next attempt builds on it: changes of different sections are merged,
/// changes of the same section conflict. If the result of a write is lost, the document is read back: the change was
/// accepted if the history contains the proposal's nonce, even if other changes followed.
class document_committer {
public:
    explicit document_committer(document_committer_options options) : options_(std::move(options)) {}

    /// Returns the document that includes the change, or the problems for which it was refused (the stored document is
    /// unchanged). Errors: connect_failed (not accepted), outcome_unknown (possibly accepted; retrying with the same
    /// nonce is safe). Blocks in the hooks.
    [[nodiscard]] std::variant<document_state, std::vector<document_problem>, error>
    commit(const document_proposal& proposal) const;

    /// The stored document; revision 0 if there is none.
    [[nodiscard]] std::variant<document_state, std::vector<document_problem>, error> current() const;

private:
    document_committer_options options_;
};

} // namespace citronfall
