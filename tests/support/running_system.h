#pragma once

#include "citronfall/daemon_settings.h"
#include "daemon/daemon.h"
#include "document/document_proposal.h"
#include "document_codec/document_codec.h"
#include "standin/free_port.h"
#include "standin/group_server.h"
#include "standin/http_server.h"
#include "standin/platform_server.h"
#include "support/raw_client.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include <easylogging++.h>

namespace citronfall::testing {

/// Daemons, a stand-in group of three members and a stand-in platform in threads of this process, on loopback.
class running_system {
public:
    explicit running_system(std::size_t daemons = 1)
    {
        el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
        const std::string members[] = {standin::free_address(), standin::free_address(), standin::free_address()};
        group_ = unwrap(standin::group_server::make(
            server_loop_,
            {.admin_address = admin_, .members = {{"a", members[0]}, {"b", members[1]}, {"c", members[2]}}}));
        platform_server_ = unwrap(standin::platform_server::make(
            server_loop_, {.address = platform_, .admin_address = standin::free_address()}));
        server_thread_ = std::thread([this] { server_loop_.run(); });
        store_document(members[0], members[1], members[2]);
        for (std::size_t i = 0; i < daemons; ++i) {
            start_daemon();
        }
    }

    ~running_system()
    {
        for (daemon_thread& each : daemons_) {
            each.subject->drain();
            if (each.thread.joinable()) {
                each.thread.join();
            }
        }
        server_loop_.stop();
        server_thread_.join();
    }

    running_system(const running_system&) = delete;
    running_system& operator=(const running_system&) = delete;
    running_system(running_system&&) = delete;
    running_system& operator=(running_system&&) = delete;

    /// Address of a daemon's port for callers.
    [[nodiscard]] const std::string& address(std::size_t index = 0) const { return daemons_.at(index).address; }

    void drain(std::size_t index = 0) { daemons_.at(index).subject->drain(); }

    /// Waits until a draining daemon has stopped.
    void join(std::size_t index = 0) { daemons_.at(index).thread.join(); }

    /// Sends a control request to the stand-in group, such as /silence/a.
    void control_group(const std::string& target) { static_cast<void>(call(admin_, post(target, ""))); }

    /// Sends one request over a new connection and returns the JSON body of the answer.
    static nlohmann::json call(const std::string& address, const std::string& request)
    {
        raw_client client(address);
        client.write(request);
        return body(client.read_answers(1, std::chrono::seconds(20)));
    }

    /// Parses the JSON body of an answer.
    static nlohmann::json body(const std::string& answer)
    {
        const std::size_t end = answer.find("\r\n\r\n");
        return end == std::string::npos ? nlohmann::json() : nlohmann::json::parse(answer.substr(end), nullptr, false);
    }

private:
    struct daemon_thread {
        std::string address;
        std::unique_ptr<daemon> subject;
        std::thread thread;
    };

    template <class T>
    static T unwrap(result<T> outcome)
    {
        if (!ok(outcome)) {
            throw std::runtime_error(error_of(outcome)->detail);
        }
        return take(std::move(outcome));
    }

    void store_document(const std::string& a, const std::string& b, const std::string& c)
    {
        using nlohmann::json;
        const auto section = [](json content) {
            return json{{"owner", "o"}, {"content", std::move(content)}};
        };
        const auto member = [](const char* name, const std::string& address) {
            return json{{"name", name}, {"address", address}, {"data_center", "d"}};
        };
        const json group{{"name", "g"},
                         {"database", "db"},
                         {"connections_per_member", 20},
                         {"slots_per_member", 3},
                         {"members", {member("a", a), member("b", b), member("c", c)}}};
        const json text{
            {"sections",
             {{"databases", section({{"groups", json::array({group})}})},
              {"tenants",
               section({{"tenants", json::array({{{"name", "t"}, {"weight", 1}}})},
                        {"classes", json::array({{{"tenant", "t"}, {"name", "c"}, {"deadline_ms", 15000}}})}})},
              {"staleness", section({{"classes", json::array()}})},
              {"routing", section({{"status_interval_ms", 100}})},
              {"limits", section(json::object())},
              {"maintenance", section({{"leaving", json::array()}})}}}};
        // Daemons load a document only if it is the result of an accepted change.
        const auto accepted = apply_proposal(
            {},
            document_proposal{{.author = "test",
                               .team = "o",
                               .reason = "test",
                               .time = 1,
                               .nonce = "n",
                               .sections = std::get<document_state>(document_codec::decode(text.dump()))->sections}});
        const json entry{{"expected_revision", 0},
                         {"value", document_codec::encode(std::get<document_state>(accepted))}};
        static_cast<void>(call(platform_, post("/kv/document", entry.dump())));
    }

    void start_daemon()
    {
        const std::string address = standin::free_address();
        auto subject = unwrap(daemon::make(daemon_settings{{.name = "entry-" + std::to_string(daemons_.size()),
                                                            .region = "r",
                                                            .data_center = "d",
                                                            .listen = address,
                                                            .platform = platform_}}));
        daemon& running = *subject;
        daemons_.push_back(
            {.address = address, .subject = std::move(subject), .thread = std::thread([&running] { running.run(); })});
        // The daemon can serve reads once it has the document and a status of the primary.
        const std::string probe =
            post("/v1/statements", R"({"tenant":"t","class":"c","group":"g","kind":"read","statement":"get x"})");
        for (int attempt = 0; attempt < 200; ++attempt) {
            if (call(address, probe).value("outcome", "") == "done") {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        throw std::runtime_error("the daemon did not become ready");
    }

    std::string admin_ = standin::free_address();
    std::string platform_ = standin::free_address();
    standin::http_server server_loop_;
    std::unique_ptr<standin::group_server> group_;
    std::unique_ptr<standin::platform_server> platform_server_;
    std::thread server_thread_;
    std::vector<daemon_thread> daemons_;
};

} // namespace citronfall::testing
