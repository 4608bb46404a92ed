#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

namespace citronfall {

/// What becomes of an operation.
enum class quota_decision {
    admitted, ///< It may be sent to a member.
    waiting,  ///< A quota holder has been asked; the decision follows within a fraction of a second.
    refused,  ///< It must not be sent.
};

struct quota_admission_fields {
    quota_decision decision = quota_decision::admitted;
    duration retry_after{}; ///< For a refusal: when the caller may come back.
    instant lapses_at{};    ///< For an admission: until when it can be given back.

    friend auto operator<=>(const quota_admission_fields&, const quota_admission_fields&) = default;
};

/// Decision on an operation of a tenant.
using quota_admission = immutable<quota_admission_fields>;

} // namespace citronfall
