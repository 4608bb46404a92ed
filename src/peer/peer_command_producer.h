#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/peer_service_command.h"
#include "core/ring_producer.h"

namespace citronfall {

/// Producer end of the ring of peer commands for the decision thread, which must not block. Commands that do not fit
/// wait in order until flush() finds space, because a lost statement, outcome or end leaves a caller waiting until its
/// timeout. Digests that do not fit are dropped, because they are sent again each second. Not thread-safe: owned by the
/// producing thread.
class peer_command_producer {
public:
    /// Precondition: `ring` outlives this object.
    explicit peer_command_producer(bounded_ring<peer_service_command>& ring) : producer_(ring) {}

    void push(const peer_service_command& command);

    /// Moves waiting commands into the ring while it has space. Returns whether none is left.
    bool flush() { return producer_.flush(); }

private:
    ring_producer<peer_service_command> producer_;
};

} // namespace citronfall
