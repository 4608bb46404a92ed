#pragma once

#include "citronfall/keepalive.h"
#include "citronfall/leave_notice.h"
#include "citronfall/peer_digest.h"
#include "citronfall/peer_hello.h"
#include "citronfall/primary_notice.h"
#include "citronfall/quota_grant.h"
#include "citronfall/quota_request.h"
#include "citronfall/relayed_end.h"
#include "citronfall/relayed_outcome.h"
#include "citronfall/relayed_statement.h"
#include "citronfall/section_update.h"
#include "citronfall/share_ack.h"
#include "citronfall/share_grant.h"
#include "citronfall/share_request.h"
#include "citronfall/store_changes.h"
#include "citronfall/store_digest.h"
#include "citronfall/store_request.h"
#include "citronfall/suspicion_query.h"
#include "citronfall/suspicion_reply.h"

#include <variant>

namespace citronfall {

/// All messages between daemons.
using peer_message =
    std::variant<peer_hello, peer_digest, section_update, suspicion_query, suspicion_reply, share_request, share_grant,
                 share_ack, store_digest, store_request, store_changes, primary_notice, relayed_statement,
                 relayed_outcome, relayed_end, leave_notice, keepalive, quota_request, quota_grant>;

} // namespace citronfall
