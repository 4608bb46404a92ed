#pragma once

#include "document/document_committer.h"
#include "document/document_replicator.h"
#include "document_codec/document_codec.h"
#include "peer/neighbour_choice.h"
#include "standin/platform_model.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace citronfall::test_support {

/// Settings of a simulated fleet.
struct replicator_fleet_options {
    std::size_t size = 7;
    std::uint64_t seed = 1;
    duration platform_delay = std::chrono::milliseconds(2);
    unsigned loss_percent = 0;       ///< Percentage of messages between daemons that are lost.
    unsigned stale_read_percent = 0; ///< Percentage of platform reads that return an earlier entry.
};

/// Simulates the document replication of several daemons on one thread in virtual time, with a model of the platform.
class replicator_fleet {
public:
    explicit replicator_fleet(replicator_fleet_options options)
        : options_(options), random_(options.seed), earlier_entries_{kv_entry{}}
    {
        std::vector<neighbour_candidate> all;
        for (std::size_t i = 0; i < options_.size; ++i) {
            all.push_back(neighbour_candidate{
                {.address = std::to_string(100 + i), .data_center = std::string(1, static_cast<char>('a' + i % 3))}});
        }
        for (std::size_t i = 0; i < options_.size; ++i) {
            for (const std::string& to : choose_neighbours(all, {.address = all[i]->address,
                                                                .data_center = all[i]->data_center,
                                                                .random = [this](std::uint64_t below) {
                                                                    return random_() % below;
                                                                }})) {
                links_[all[i]->address].insert(to);
                links_[to].insert(all[i]->address);
            }
            start(all[i]->address);
        }
    }

    /// Starts or restarts a daemon and connects it to its neighbours.
    void start(const std::string& daemon)
    {
        watch_commands_.erase(daemon);
        ++incarnations_[daemon];
        replicators_[daemon] = std::make_unique<document_replicator>(take(document_replicator::make(
            {.daemon = daemon,
             .region = "r",
             .peer = [this, daemon](const outgoing_peer_message& command) { send(daemon, command); },
             .platform = [this, daemon](const platform_call& call) { call_platform(daemon, call); },
             .check =
                 [this, daemon](const document_check_request& input) {
                     post(daemon, std::chrono::milliseconds(1), [this, daemon, input] {
                         replicators_[daemon]->apply(document_codec::check(input, wall_ms), now);
                     });
                 },
             .watch = [this, daemon](const document_watch_command& command) { watch_commands_[daemon] = command; },
             .candidates = [](const peer_candidates&) {},
             .put_in_force =
                 [this, daemon](const operator_config&, instant) {
                     const std::uint64_t revision = replicators_[daemon]->in_force()->state->revision;
                     reverted_revisions += revision < highest_[daemon] ? 1U : 0U;
                     highest_[daemon] = revision;
                 },
             .next_number = [this] { return ++last_number_; },
             .random = [this] { return random_(); },
             .wall_ms = [this] { return wall_ms; },
             .count = [this](std::string_view counter) { ++counters[std::string(counter)]; },
             .log = [](const std::string&) {},
             .unrecorded_changes =
                 [](document_part_id) {
                     return std::vector<std::string>{};
                 }})));
        highest_[daemon] = 0;
        for (const std::string& other : links_[daemon]) {
            if (!replicators_.contains(other)) {
                continue;
            }
            connect(daemon, other);
            connect(other, daemon);
        }
    }

    /// Advances time by `length` in steps of 5 ms.
    void run(duration length)
    {
        for (const instant end = now + length; now < end; now += std::chrono::milliseconds(5)) {
            while (!queue_.empty() && queue_.begin()->first <= now) {
                const auto action = queue_.extract(queue_.begin()).mapped();
                action();
            }
            serve_watches();
            for (const auto& [daemon, replicator] : replicators_) {
                if (!stopped.contains(daemon) && now >= *replicator->next()) {
                    replicator->tick(now);
                }
            }
            wall_ms += 5;
        }
    }

    /// Advances time until `revision` is in force on all running daemons. Returns the time that it took, or `limit`.
    duration run_until(std::uint64_t revision, duration limit)
    {
        const instant start = now;
        while (in_force_on(revision) < replicators_.size() - stopped.size() && now - start < limit) {
            run(std::chrono::milliseconds(5));
        }
        return now - start;
    }

    [[nodiscard]] std::size_t in_force_on(std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto& [daemon, replicator] : replicators_) {
            count += !stopped.contains(daemon) && replicator->in_force()->state->revision >= revision ? 1U : 0U;
        }
        return count;
    }

    [[nodiscard]] std::size_t watchers() const
    {
        std::size_t count = 0;
        for (const auto& [daemon, replicator] : replicators_) {
            count += replicator->watching() ? 1U : 0U;
        }
        return count;
    }

    /// Commits an operator's change of one section immediately. Returns the new revision.
    std::uint64_t change(document_part_id part, const std::string& content)
    {
        const kv_entry entry = platform.read("document");
        const auto current =
            entry->revision == 0 ? document_state{} : std::get<document_state>(document_codec::decode(entry->value));
        const auto next = std::get<document_state>(
            apply_proposal(current, document_proposal{{.author = "asha",
                                                       .team = "t",
                                                       .reason = "test",
                                                       .time = 1,
                                                       .nonce = std::to_string(++last_number_),
                                                       .base = current,
                                                       .sections = sections_with(current, part, content)}}));
        platform.compare_and_swap("document", entry->revision, document_codec::encode(next));
        earlier_entries_.push_back(platform.read("document"));
        return next->revision;
    }

    document_replicator& replicator(const std::string& daemon) { return *replicators_.at(daemon); }
    [[nodiscard]] std::string name_of(std::size_t index) const { return std::to_string(100 + index); }

    instant now{std::chrono::seconds(1000)};
    std::int64_t wall_ms = 1'000'000;
    bool platform_down = false;
    std::set<std::string> stopped; ///< Daemons that neither send nor receive.
    standin::platform_model platform;
    std::map<std::string, std::uint64_t> counters;
    std::uint64_t platform_calls = 0;
    std::uint64_t reverted_revisions = 0;

private:
    static std::map<document_part_id, document_section> sections_with(const document_state& current,
                                                                      document_part_id part, const std::string& content)
    {
        std::map<document_part_id, document_section> sections;
        if (current->revision == 0) {
            sections[document_part_id::databases] = document_section{
                {.content =
                     R"({"groups":[{"connections_per_member":20,"database":"d","members":[{"address":"127.0.0.1:1",)"
                     R"("data_center":"a","name":"m"}],"name":"g","slots_per_member":3}]})"}};
            sections[document_part_id::tenants] = document_section{{.content = R"({"tenants":[{"name":"t"}]})"}};
        }
        sections[part] = document_section{{.content = content}};
        return sections;
    }

    void post(const std::string& daemon, duration delay, std::function<void()> action)
    {
        queue_.emplace(now + delay, [this, daemon, run = incarnations_[daemon], action = std::move(action)] {
            if (!stopped.contains(daemon) && incarnations_[daemon] == run) {
                action();
            }
        });
    }

    void connect(const std::string& at, const std::string& from)
    {
        post(at, std::chrono::milliseconds(2), [this, at, from] {
            replicators_[at]->apply(peer_event{{.from = from, .kind = peer_event_kind::connected, .message = {}}}, now);
        });
    }

    void send(const std::string& from, const outgoing_peer_message& command)
    {
        for (const std::string& to : links_[from]) {
            if ((!command->to.empty() && command->to != to) || stopped.contains(from) || !replicators_.contains(to) ||
                random_() % 100 < options_.loss_percent) {
                continue;
            }
            post(to, std::chrono::milliseconds(1 + random_() % 10), [this, from, to, message = command->message] {
                replicators_[to]->apply(
                    peer_event{{.from = from, .kind = peer_event_kind::received, .message = message}}, now);
            });
        }
    }

    void call_platform(const std::string& daemon, const platform_call& call)
    {
        ++platform_calls;
        platform_event_fields fields{.number = call->number};
        duration delay = options_.platform_delay;
        if (platform_down) {
            fields.failure = error_kind::outcome_unknown;
            delay = call->deadline - now;
        } else if (call->operation == platform_operation::lease) {
            fields.lease_held = platform.lease(call->key, call->holder, call->ttl, now);
        } else if (call->operation == platform_operation::read) {
            fields.entry = random_() % 100 < options_.stale_read_percent
                               ? earlier_entries_[random_() % earlier_entries_.size()]
                               : platform.read(call->key);
        }
        post(daemon, delay, [this, daemon, fields] { replicators_[daemon]->apply(platform_event{fields}, now); });
    }

    void serve_watches()
    {
        const kv_entry entry = platform.read("document");
        for (auto& [daemon, command] : watch_commands_) {
            if (!command->active || platform_down || entry->revision <= command->after) {
                continue;
            }
            command = with(command, [&](document_watch_command_fields& fields) { fields.after = entry->revision; });
            post(daemon, options_.platform_delay, [this, daemon = daemon, entry] {
                const auto event = document_codec::check(
                    document_check_request{{.entry = entry->revision, .text = entry->value}}, wall_ms);
                replicators_[daemon]->apply(event, now);
            });
        }
    }

    replicator_fleet_options options_;
    std::mt19937_64 random_;
    std::vector<kv_entry> earlier_entries_; ///< Entries that a stale read may return.
    std::multimap<instant, std::function<void()>> queue_;
    std::map<std::string, std::set<std::string>> links_;
    std::map<std::string, std::unique_ptr<document_replicator>> replicators_;
    std::map<std::string, std::uint64_t> incarnations_;
    std::map<std::string, document_watch_command> watch_commands_;
    std::map<std::string, std::uint64_t> highest_;
    std::uint64_t last_number_ = 0;
};

} // namespace citronfall::test_support
