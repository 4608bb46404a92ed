#include "pool/member_health.h"

namespace citronfall {

void member_health::answered(instant now)
{
    answered_at_ = now;
    reach_ = member_reach::good;
}

void member_health::unanswered(instant sent_at)
{
    if (answered_at_ && *answered_at_ > sent_at) {
        return; // The member answered something else meanwhile; only that connection is silent.
    }
    if (reach_ != member_reach::down) {
        reach_ = member_reach::silent;
    }
}

void member_health::refused(instant now)
{
    static_cast<void>(now);
    reach_ = member_reach::down;
}

} // namespace citronfall
