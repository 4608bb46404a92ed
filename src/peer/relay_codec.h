#pragma once

#include "citronfall/relayed_outcome.h"
#include "citronfall/relayed_statement.h"
#include "peer_generated.h"

#include <optional>

#include <flatbuffers/flatbuffers.h>

namespace citronfall {

/// Encodes and decodes relayed statements and their outcomes as FlatBuffers. All functions are thread-safe.
class relay_codec {
public:
    [[nodiscard]] static flatbuffers::Offset<wire::relayed_statement> encode(flatbuffers::FlatBufferBuilder& out,
                                                                             const relayed_statement& value);
    [[nodiscard]] static flatbuffers::Offset<wire::relayed_outcome> encode(flatbuffers::FlatBufferBuilder& out,
                                                                           const relayed_outcome& value);

    /// Returns nothing if an enumeration has a value that this version does not know.
    [[nodiscard]] static std::optional<relayed_statement> read(const wire::relayed_statement& source);
    [[nodiscard]] static std::optional<relayed_outcome> read(const wire::relayed_outcome& source);
};

} // namespace citronfall
