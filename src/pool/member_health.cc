#include "pool/member_health.h"

namespace citronfall {

void member_health::answered(instant now)
{
    answered_at_ = now;
    reachability_ = member_reachability::reachable;
}

void member_health::unanswered(instant sent_at)
{
    if (answered_at_ && *answered_at_ > sent_at) {
        return; // The member has answered something else since; only that connection is unresponsive.
    }
    if (reachability_ != member_reachability::down) {
        reachability_ = member_reachability::silent;
    }
}

void member_health::refused(instant now)
{
    static_cast<void>(now);
    reachability_ = member_reachability::down;
}

} // namespace citronfall
