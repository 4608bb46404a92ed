#include "admission/fair_queue.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Returns the eligible class of a tenant that has received the least service for its weight.
template <class Classes>
auto next_class(Classes& classes, const fair_queue::eligible_hook& eligible)
{
    auto best = classes.end();
    for (auto each = classes.begin(); each != classes.end(); ++each) {
        if (each->second.waiting.empty() || !eligible(each->second.waiting.front())) {
            continue;
        }
        if (best == classes.end() || each->second.virtual_time < best->second.virtual_time) {
            best = each;
        }
    }
    return best;
}

double charge(duration cost, std::uint32_t weight)
{
    return static_cast<double>(std::max<duration::rep>(cost.count(), 1)) / std::max<std::uint32_t>(weight, 1);
}

} // namespace

void fair_queue::push(const queued_request& work)
{
    tenant_queue& tenant = tenants_[work->tenant];
    class_queue& queue = tenant.classes[work->class_name];
    // A tenant or class that was idle resumes at the virtual time of the others; it earns no credit for unused
    // capacity.
    if (tenant.waiting == 0) {
        tenant.virtual_time = std::max(tenant.virtual_time, last_served_time_);
    }
    if (queue.waiting.empty()) {
        queue.virtual_time = std::max(queue.virtual_time, tenant.last_served_time);
    }
    queue.waiting.push_back(work);
    ++tenant.waiting;
    ++size_;
}

bool fair_queue::erase(const class_key& key, request_handle handle)
{
    const auto tenant = tenants_.find(key->tenant);
    if (tenant == tenants_.end()) {
        return false;
    }
    auto& waiting = tenant->second.classes[key->class_name].waiting;
    const auto found = std::find_if(waiting.begin(), waiting.end(),
                                    [handle](const queued_request& each) { return each->handle == handle; });
    if (found == waiting.end()) {
        return false;
    }
    waiting.erase(found);
    --tenant->second.waiting;
    --size_;
    return true;
}

std::optional<queued_request> fair_queue::pop(const eligible_hook& eligible, const cost_hook& cost)
{
    tenant_queue* best = nullptr;
    class_queue* best_class = nullptr;
    for (auto& [name, tenant] : tenants_) {
        if (tenant.waiting == 0 || (best != nullptr && best->virtual_time <= tenant.virtual_time)) {
            continue;
        }
        const auto found = next_class(tenant.classes, eligible);
        if (found != tenant.classes.end()) {
            best = &tenant;
            best_class = &found->second;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const queued_request work = best_class->waiting.front();
    best_class->waiting.pop_front();
    --best->waiting;
    --size_;
    last_served_time_ = std::max(last_served_time_, best->virtual_time);
    best->last_served_time = std::max(best->last_served_time, best_class->virtual_time);
    const duration expected = cost(work);
    best->virtual_time += charge(expected, work->tenant_weight);
    best_class->virtual_time += charge(expected, work->class_weight);
    return work;
}

std::size_t fair_queue::size(const class_key& key) const
{
    const auto tenant = tenants_.find(key->tenant);
    if (tenant == tenants_.end()) {
        return 0;
    }
    const auto found = tenant->second.classes.find(key->class_name);
    return found == tenant->second.classes.end() ? 0 : found->second.waiting.size();
}

double fair_queue::share(const class_key& key, std::uint32_t tenant_weight, std::uint32_t class_weight) const
{
    double tenants = tenant_weight;
    double classes = class_weight;
    for (const auto& [name, tenant] : tenants_) {
        if (tenant.waiting == 0) {
            continue;
        }
        for (const auto& [class_name, queue] : tenant.classes) {
            if (!queue.waiting.empty() && name != key->tenant) {
                tenants += queue.waiting.front()->tenant_weight;
                break;
            }
            if (!queue.waiting.empty() && class_name != key->class_name) {
                classes += queue.waiting.front()->class_weight;
            }
        }
    }
    return tenant_weight / tenants * class_weight / classes;
}

void fair_queue::each_class(const std::function<void(const queued_request&, std::size_t)>& visit) const
{
    for (const auto& [name, tenant] : tenants_) {
        for (const auto& [class_name, queue] : tenant.classes) {
            if (!queue.waiting.empty()) {
                visit(queue.waiting.front(), queue.waiting.size());
            }
        }
    }
}

} // namespace citronfall
