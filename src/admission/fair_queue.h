#pragma once

#include "admission/class_key.h"
#include "admission/queued_request.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// Weighted fair queue of one member. Tenants share the member's capacity by weight, and the classes of a tenant share
/// the tenant's part by weight.
///
/// Implements start-time fair queueing on two levels. Capacity is measured in running time, so a class of expensive
/// requests gets its share of time, not of requests. Not thread-safe: owned by the decision thread.
class fair_queue {
public:
    /// Whether the work may be dequeued now.
    using eligible_hook = std::function<bool(const queued_request&)>;

    /// Returns the expected running time of the work.
    using cost_hook = std::function<duration(const queued_request&)>;

    /// Adds work at the end of the queue of its class.
    void push(const queued_request& work);

    /// Removes the work with that handle. Returns false if it is not queued.
    bool erase(const class_key& key, request_handle handle);

    /// Dequeues the next work and charges its cost to its tenant and class. A class whose oldest work is not eligible
    /// is skipped. Returns nothing if no class has eligible work.
    [[nodiscard]] std::optional<queued_request> pop(const eligible_hook& eligible, const cost_hook& cost);

    /// Number of waiting requests.
    [[nodiscard]] std::size_t size() const { return size_; }

    /// Number of waiting requests of a class.
    [[nodiscard]] std::size_t size(const class_key& key) const;

    /// Fraction of the capacity (0 to 1) that a class gets while it competes with the classes that have queued work
    /// now.
    [[nodiscard]] double share(const class_key& key, std::uint32_t tenant_weight, std::uint32_t class_weight) const;

    /// Calls `visit` for each class that has queued work, with its oldest work and its queue length.
    void each_class(const std::function<void(const queued_request& oldest, std::size_t waiting)>& visit) const;

private:
    struct class_queue {
        std::deque<queued_request> waiting;
        double virtual_time = 0;
    };

    struct tenant_queue {
        std::map<std::string, class_queue> classes;
        std::size_t waiting = 0;
        double virtual_time = 0;
        double last_served_time = 0; ///< Virtual time of the class that was served last.
    };

    std::map<std::string, tenant_queue> tenants_;
    double last_served_time_ = 0; ///< Virtual time of the tenant that was served last.
    std::size_t size_ = 0;
};

} // namespace citronfall
