#include "leader/leadership_view.h"

#include <algorithm>

namespace citronfall {

bool leadership_view::proved(const std::string& member, term_number term, instant sent_at)
{
    const bool before_loss = lost_since_ && last_leader_ == member && sent_at < *lost_since_;
    if (sent_at < proved_at_ || before_loss) {
        return false;
    }
    const bool changed = leader_ != member;
    leader_ = member;
    last_leader_ = member;
    last_leader_term_ = term;
    proved_at_ = sent_at;
    lost_since_.reset();
    observe_term(term);
    return changed;
}

bool leadership_view::lost(const std::string& member, instant now)
{
    if (leader_ != member) {
        return false;
    }
    leader_.reset();
    lost_since_ = now;
    return true;
}

void leadership_view::observe_term(term_number term)
{
    term_ = std::max(term_, term);
}

} // namespace citronfall
