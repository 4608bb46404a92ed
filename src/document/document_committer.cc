#include "document/document_committer.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

bool history_contains(const document_state& document, const std::string& nonce)
{
    return std::any_of(document->history.begin(), document->history.end(),
                       [&nonce](const document_history_entry& each) { return each->nonce == nonce; });
}

} // namespace

std::variant<document_state, std::vector<document_problem>, error> document_committer::current() const
{
    const auto entry = options_.read();
    if (!ok(entry)) {
        return error_of(entry);
    }
    if (value_of(entry)->revision == 0) {
        return document_state{};
    }
    auto decoded = options_.decode(value_of(entry)->value);
    if (auto* problems = std::get_if<std::vector<document_problem>>(&decoded)) {
        return std::move(*problems);
    }
    return std::get<document_state>(std::move(decoded));
}

std::variant<document_state, std::vector<document_problem>, error>
document_committer::commit(const document_proposal& proposal) const
{
    // Entry revision that a write with an unknown outcome expected. If the write took effect, the history of every
    // later entry contains its nonce. Only a later entry without the nonce proves that it did not, because a stale read
    // may return an entry from before the write.
    std::optional<kv_revision> in_doubt;
    error last_error{{.kind = error_kind::connect_failed, .detail = "the platform does not respond"}};
    for (unsigned attempt = 0; attempt < options_.max_attempts; ++attempt) {
        if (attempt > 0) {
            options_.pause(attempt);
        }
        const auto entry = options_.read();
        if (!ok(entry)) {
            last_error = error_of(entry);
            continue;
        }
        document_state stored;
        if (value_of(entry)->revision != 0) {
            auto decoded = options_.decode(value_of(entry)->value);
            if (auto* problems = std::get_if<std::vector<document_problem>>(&decoded)) {
                return std::move(*problems);
            }
            stored = std::get<document_state>(std::move(decoded));
        }
        if (history_contains(stored, proposal->nonce)) {
            return stored;
        }
        if (stored->revision < proposal->base->revision) {
            last_error =
                error{{.kind = error_kind::connect_failed, .detail = "the platform returned an outdated document"}};
            continue;
        }
        auto applied = apply_proposal(stored, proposal);
        const bool write_ruled_out = !in_doubt || value_of(entry)->revision > *in_doubt;
        if (std::holds_alternative<std::vector<document_problem>>(applied) && !write_ruled_out) {
            continue;
        }
        if (auto* problems = std::get_if<std::vector<document_problem>>(&applied)) {
            return std::move(*problems);
        }
        const document_state& next = std::get<document_state>(applied);
        if (next == stored) {
            return stored;
        }
        if (auto problems = options_.check(next); !problems.empty()) {
            return problems;
        }
        const auto written = options_.compare_and_swap(value_of(entry)->revision, options_.encode(next));
        if (ok(written)) {
            return next;
        }
        last_error = error_of(written);
        if (last_error->kind == error_kind::outcome_unknown) {
            in_doubt = std::max(in_doubt.value_or(0), value_of(entry)->revision);
        }
    }
    return in_doubt ? with(last_error, [](error_fields& fields) { fields.kind = error_kind::outcome_unknown; })
                    : with(last_error, [](error_fields& fields) { fields.kind = error_kind::connect_failed; });
}

} // namespace citronfall
