// Cost of a quota decision for an operation, at 84 and at 10,000 tenants: microseconds per operation that is admitted
// from a grant ahead, that asks a holder, and that is refused, and bytes of memory per tenant.

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "quota/quota_gate.h"
#include "quota/quota_holder.h"

#include <cstddef>
#include <cstdint>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace citronfall;

namespace {

constexpr int operations = 200'000;

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

std::vector<std::string> tenant_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back("tenant-" + std::to_string(i));
    }
    return names;
}

/// One daemon that holds all parts itself.
class quota_bench {
public:
    quota_bench(const std::vector<std::string>& names, double rate) : names_(names)
    {
        for (const std::string& each : names) {
            limits_[each] = quota_limit{{.rate_per_s = rate, .burst = rate}};
        }
        const std::size_t before = allocated_bytes();
        const quota_rule rule{{.overage = 0.1, .slack = 20}};
        holder_ = std::make_unique<quota_holder>(
            quota_holder_options{.rule = rule, .log = [](const std::string&, const std::string&) {
                                 }});
        gate_ = take(quota_gate::make(
            {.daemon = "daemon",
             .rule = rule,
             .holder = [](std::uint32_t) { return std::string("daemon"); },
             .send = [this](const std::string&, const quota_request& request) { requests_.push_back(request); },
             .decided =
                 [this](quota_operation_number, const quota_admission& each) {
                     count(each);
                 }}));
        gate_->configure(1, limits_, 0, now_);
        holder_->configure(1, limits_, now_);
        std::map<std::uint32_t, std::uint64_t> groups;
        for (std::uint32_t group = 0; group < quota_group_count; ++group) {
            groups[group] = 1;
        }
        holder_->hold(groups, now_);
        bytes_ = allocated_bytes() - before;
        now_ += std::chrono::seconds(10);
    }

    /// Microseconds per operation, at `gap` between two operations of any tenant.
    double measure(duration gap)
    {
        admitted_ = 0;
        const instant began = steady_now();
        for (int i = 0; i < operations; ++i) {
            now_ += gap;
            count(gate_->admit(names_[static_cast<std::size_t>(i) % names_.size()], ++last_operation_, now_));
            gate_->tick(now_);
            for (const quota_request& each : requests_) {
                gate_->handle(holder_->answer(each, now_), now_);
            }
            requests_.clear();
        }
        return static_cast<double>((steady_now() - began).count()) / operations;
    }

    [[nodiscard]] double bytes_per_tenant() const
    {
        return static_cast<double>(bytes_) / static_cast<double>(names_.size());
    }
    [[nodiscard]] int admitted() const { return admitted_; }

private:
    void count(const quota_admission& admission)
    {
        admitted_ += admission->decision == quota_decision::admitted ? 1 : 0;
    }

    const std::vector<std::string>& names_;
    std::map<std::string, quota_limit> limits_;
    std::unique_ptr<quota_holder> holder_;
    std::unique_ptr<quota_gate> gate_;
    std::vector<quota_request> requests_;
    instant now_{std::chrono::hours(1)};
    quota_operation_number last_operation_ = 0;
    std::size_t bytes_ = 0;
    int admitted_ = 0;
};

void run(std::size_t tenants)
{
    const std::vector<std::string> names = tenant_names(tenants);
    constexpr duration gap = std::chrono::microseconds(1000); // 1,000 operations a second.
    const double usual_rate = 1000.0 / static_cast<double>(tenants);
    quota_bench below(names, usual_rate * 1.6);
    const double cost = below.measure(gap);
    std::cout << tenants << " tenants below their limits: " << cost << " us per operation, " << below.admitted()
              << " of " << operations << " admitted, " << below.bytes_per_tenant() << " bytes per tenant\n";
    quota_bench above(names, usual_rate / 8);
    const double excess_cost = above.measure(gap);
    std::cout << tenants << " tenants at 8 times their limits: " << excess_cost << " us per operation, "
              << above.admitted() << " of " << operations << " admitted\n";
}

} // namespace

int main()
{
    for (const std::size_t tenants : {std::size_t{84}, std::size_t{10'000}}) {
        run(tenants);
    }
}
