#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

namespace citronfall {

struct document_watch_command_fields {
    bool active = false;   ///< Whether to keep a long-poll watch on the document.
    kv_revision after = 0; ///< Known revision of the key-value entry.

    friend auto operator<=>(const document_watch_command_fields&, const document_watch_command_fields&) = default;
};

/// Command of the decision thread to the watch thread.
class document_watch_command : public immutable<document_watch_command_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
