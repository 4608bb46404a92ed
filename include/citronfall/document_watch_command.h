#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

namespace citronfall {

/// Fields of a watch order.
struct document_watch_command_fields {
    bool active = false;   ///< Whether to hold a waiting watch on the document.
    kv_revision after = 0; ///< Revision of the platform's entry that is known.

    friend auto operator<=>(const document_watch_command_fields&, const document_watch_command_fields&) = default;
};

/// Message of the decision thread to the watch thread.
class document_watch_command : public immutable<document_watch_command_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
