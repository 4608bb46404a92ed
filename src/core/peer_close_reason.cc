#include "citronfall/peer_close_reason.h"

namespace citronfall {

std::string peer_close_reason_name(peer_close_reason reason)
{
    switch (reason) {
    case peer_close_reason::connect_failed:
        return "connect_failed";
    case peer_close_reason::lost:
        return "lost";
    case peer_close_reason::bad_frame:
        return "bad_frame";
    case peer_close_reason::timed_out:
        return "timed_out";
    case peer_close_reason::overloaded:
        return "overloaded";
    case peer_close_reason::restarted:
        return "restarted";
    }
    return "unknown";
}

} // namespace citronfall
