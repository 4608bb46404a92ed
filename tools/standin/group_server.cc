#include "standin/group_server.h"

#include "upstream/member_codec.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace citronfall::standin {
namespace {

constexpr duration replication_interval = std::chrono::milliseconds(1);

} // namespace

result<std::unique_ptr<group_server>> group_server::make(http_server& loop, group_server_options options)
{
    std::unique_ptr<group_server> server(new group_server(loop, std::move(options)));
    const auto opened = server->open();
    if (!ok(opened)) {
        return error_of(opened);
    }
    return server;
}

result<done> group_server::open()
{
    for (const auto& [name, address] : options_.members) {
        auto& member =
            members_.emplace(name, member_state{.model = member_model(name), .address = address}).first->second;
        auto opened = loop_.listen(
            {.address = address,
             .handle = [this, &member](session_number session, const http_request& request,
                                       const reply_hook& reply) { handle_request(member, session, request, reply); },
             .closed = [&member](session_number session) { member.model.session_closed(session); },
             .max_connections = options_.connections,
             .accept_delay = options_.connect_time});
        if (!ok(opened)) {
            return opened;
        }
    }
    const instant now = steady_now();
    members_.begin()->second.model.become_primary(now);
    for (auto& [name, member] : members_) {
        if (!member.model.primary()) {
            static_cast<void>(member.model.handle(0,
                                                  member_call{{.operation = member_operation::follow,
                                                               .term = 1,
                                                               .primary_address = members_.begin()->second.address}},
                                                  now));
        }
    }
    replicate();
    return loop_.listen({.address = options_.admin_address,
                         .handle = [this](session_number, const http_request& request, const reply_hook& reply) {
                             handle_admin_request(request, reply);
                         }});
}

void group_server::handle_request(member_state& member, session_number session, const http_request& request,
                                  const reply_hook& reply)
{
    const auto call = member_codec::decode(request);
    if (!call) {
        reply(member_codec::encode(member_answer{{.verdict = member_verdict::malformed}}));
        return;
    }
    if ((*call)->operation != member_operation::statement) {
        auto answer = member.model.handle(session, *call, steady_now());
        if (answer->status) {
            const auto open = static_cast<std::uint32_t>(loop_.connections(member.address));
            answer = with(answer, [open](member_answer_fields& fields) {
                fields.status =
                    with(*fields.status, [open](member_status_fields& status) { status.connections = open; });
            });
        }
        reply(member_codec::encode(answer));
        return;
    }
    member.queue.push_back(waiting_call{.session = session, .call = *call, .reply = reply});
    run_next(member);
}

void group_server::run_next(member_state& member)
{
    while (member.running < options_.slots && !member.queue.empty()) {
        ++member.running;
        const waiting_call next = std::move(member.queue.front());
        member.queue.pop_front();
        loop_.after(member_model::cost(next.call->statement, options_.service_time), [this, &member, next] {
            next.reply(member_codec::encode(member.model.handle(next.session, next.call, steady_now())));
            --member.running;
            run_next(member);
        });
    }
}

void group_server::handle_admin_request(const http_request& request, const reply_hook& reply)
{
    const auto slash = request->target.find('/', 1);
    const std::string verb = request->target.substr(0, slash);
    const std::string argument = slash == std::string::npos ? "" : request->target.substr(slash + 1);
    if (verb == "/members") {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [name, member] : members_) {
            const member_status status = member.model.status();
            list.push_back({{"member", name},
                            {"primary", member.model.primary()},
                            {"cut", member.cut},
                            {"term", status->term},
                            {"last_index", status->last_index}});
        }
        reply(http_reply{{.body = list.dump()}});
        return;
    }
    if (verb == "/lag") {
        std::int64_t milliseconds = 0;
        std::from_chars(argument.data(), argument.data() + argument.size(), milliseconds);
        options_.replication_lag = std::chrono::milliseconds(milliseconds);
        reply(http_reply{{.body = "{}"}});
        return;
    }
    const auto member = members_.find(argument);
    if (member == members_.end()) {
        reply(http_reply{{.status = 404, .body = "{}"}});
        return;
    }
    if (verb == "/cut") {
        member->second.cut = true;
        loop_.cut(member->second.address);
    } else if (verb == "/silence") {
        loop_.silence(member->second.address);
    } else if (verb == "/restore") {
        member->second.cut = false;
        loop_.restore(member->second.address);
    }
    reply(http_reply{{.body = "{}"}});
}

void group_server::replicate()
{
    const instant until = steady_now() - options_.replication_lag;
    for (auto& [name, member] : members_) {
        const member_state* primary = find_member(member.model.followed());
        if (primary != nullptr && !primary->cut && !member.cut) {
            member.model.replicate_from(primary->model, until);
        }
    }
    loop_.after(replication_interval, [this] { replicate(); });
}

group_server::member_state* group_server::find_member(const std::string& address)
{
    for (auto& [name, member] : members_) {
        if (member.address == address) {
            return &member;
        }
    }
    return nullptr;
}

} // namespace citronfall::standin
