#pragma once

#include "citronfall/instant.h"
#include "mirror/store_answer.h"
#include "mirror/store_call.h"
#include "standin/store_copy.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Id of a client of the store, chosen by the user of the model.
using store_client_number = std::uint64_t;

/// Options of a store model.
struct store_model_options {
    std::function<call_outcome(const promote_member&, instant)> promote; ///< Returns done or conflict.
};

/// Model of the platform's store: revisions, conditional changes, leases, watches and the return from an older copy,
/// without a network.
///
/// Time is an argument of each call. The fencing tokens of promotions are checked per service. Not thread-safe.
class store_model {
public:
    using answer_hook = std::function<void(const store_answer&)>;

    explicit store_model(store_model_options options) : options_(std::move(options)) {}

    /// Performs a call of a client. `answer` is called exactly once; for a watch, possibly by a later call of a method.
    void perform(store_client_number client, const store_call& call, instant now, const answer_hook& answer);

    /// Writes an item unconditionally, as operators and members do.
    void write(const std::string& key, const std::string& value, lease_number lease, instant now);

    /// Deletes an item if it exists.
    void remove(const std::string& key, instant now);

    /// Ends the leases and answers the watches that are due. Call it every few tens of milliseconds.
    void advance(instant now);

    /// Contents at `now`.
    [[nodiscard]] store_copy copy(instant now);

    /// Returns to a copy taken earlier, in the next era. Revisions since the copy are given out again, and waiting
    /// watches end without an answer.
    ///
    /// Leases granted since the copy are gone. A lease that was alive then has the time left that it had, even if it
    /// has been renewed or ended since: a daemon must not rely on either. Lease numbers are not given out again, and
    /// the highest fencing tokens remain: they belong to the service that promotes members.
    void restore(const store_copy& copy, instant now);

    /// Number of the era, starting at 1; each answer of the store carries it.
    [[nodiscard]] std::uint64_t era() const { return era_; }

    /// Current item of a key; null if there is none.
    [[nodiscard]] const store_item* find(const std::string& key) const;

    /// Compacts the history: watches from earlier revisions get history_gone.
    void forget_history() { oldest_known_ = revision_; }

    /// Ends the waiting watches of a client with the outcome unanswered.
    void end_watches(store_client_number client);

private:
    struct waiting_watch {
        store_client_number client = 0;
        store_call call;
        answer_hook answer;
        instant until{};
    };

    store_answer_fields answer_now(const store_call& call, instant now);
    store_answer_fields read_page(const read_range& range) const;
    store_answer_fields change(const change_items& request, instant now);
    store_answer_fields grant(const grant_lease& request, instant now);
    store_answer_fields renew(const renew_lease& request, instant now);
    store_answer_fields promote(const promote_member& order, instant now);
    bool answer_watch(const waiting_watch& watch, instant now) const;
    void answer_watches(instant now);

    struct lease_state {
        instant until{};
        duration time_to_live{};
    };

    store_model_options options_;
    std::map<std::string, store_item> items_;
    std::map<std::string, kv_revision> deletions_; ///< Revision of the last deletion by key.
    std::map<lease_number, lease_state> leases_;
    std::map<std::string, std::uint64_t> fences_; ///< Highest fencing token by service.
    std::list<waiting_watch> watches_;
    kv_revision revision_ = 1;
    kv_revision oldest_known_ = 0; ///< Watches from earlier revisions get history_gone.
    lease_number last_lease_ = 1000;
    std::uint64_t era_ = 1;
};

} // namespace citronfall::standin
