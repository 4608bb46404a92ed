#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "standin/http_server.h"
#include "standin/platform_model.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Options of a stand-in platform.
struct platform_server_options {
    std::string address;                  ///< "ip:port" of the service.
    std::string admin_address;            ///< "ip:port" of the administration port.
    std::vector<std::string> instances{}; ///< "ip:port" of the running daemons' peer ports.
};

/// Stand-in for the platform's key-value service on an event loop: compare-and-swap, leases, watches and the instance
/// list.
///
/// Administration requests: POST /delay/MS, /outage/on, /outage/off, /lose_answers/COUNT (the next COUNT writes take
/// effect but are not answered), /instances with a JSON list; GET /calls (number of calls so far). Runs on the loop's
/// thread.
class platform_server {
public:
    /// Opens all ports. Error (bad_request): an address is malformed or in use.
    [[nodiscard]] static result<std::unique_ptr<platform_server>> make(http_server& loop,
                                                                       platform_server_options options);

private:
    struct waiting_watch {
        std::string key;
        kv_revision after = 0;
        instant until;
        reply_hook reply;
    };

    platform_server(http_server& loop, platform_server_options options) : loop_(loop), options_(std::move(options)) {}

    [[nodiscard]] result<done> open();
    void handle_request(const http_request& request, const reply_hook& reply);
    void answer(const http_request& request, const reply_hook& reply);
    void write(const std::string& key, const http_request& request, const reply_hook& reply);
    void lease(const std::string& key, const http_request& request, const reply_hook& reply);
    void watch(const std::string& query, const reply_hook& reply);
    void handle_admin_request(const http_request& request, const reply_hook& reply);
    void answer_watches();

    http_server& loop_;
    platform_server_options options_;
    platform_model model_;
    std::vector<waiting_watch> watches_;
    duration delay_{};
    bool outage_ = false;
    std::uint64_t answers_to_lose_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace citronfall::standin
