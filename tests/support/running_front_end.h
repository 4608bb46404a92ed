#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/caller_request.h"
#include "frontend/http_front_end.h"
#include "frontend/responder.h"
#include "standin/free_port.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace citronfall::testing {

/// Settings of a running_front_end.
struct running_front_end_options {
    daemon_settings_fields settings{};
    responder_options bounds{};
    std::size_t max_response_bytes = 16 * 1024 * 1024;
};

/// An HTTP front end and a responder thread on loopback. The test plays the part of the decision thread.
class running_front_end {
public:
    explicit running_front_end(running_front_end_options options = {})
        : address_(standin::free_address()), responder_(take(responder::make(options.bounds))),
          front_end_({.settings = listening(options.settings),
                      .submit = [this](decision_event event) { return submit(std::move(event)); },
                      .respond = [this](responder_message message) { push(std::move(message)); },
                      .max_response_bytes = options.max_response_bytes}),
          thread_([this] { run(); })
    {
        if (!ok(front_end_.start())) {
            throw std::runtime_error("the front end cannot listen on " + address_);
        }
    }

    ~running_front_end() { finish(); }
    running_front_end(const running_front_end&) = delete;
    running_front_end& operator=(const running_front_end&) = delete;
    running_front_end(running_front_end&&) = delete;
    running_front_end& operator=(running_front_end&&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

    /// Returns the next request of a caller; throws if none arrives within 5 s.
    caller_request next_request()
    {
        auto request = requests_.pop_until(steady_now() + std::chrono::seconds(5));
        if (!request) {
            throw std::runtime_error("no request arrived within 5 s");
        }
        return *request;
    }

    /// Answers a request with a JSON string.
    void answer(const caller_request& request, const std::string& text)
    {
        push(decision_answer{caller_answer{{.handle = request->handle, .result = '"' + text + '"'}}});
    }

    /// Shuts down in the same order as the daemon: waits for pending answers, then stops Pistache.
    void finish()
    {
        if (thread_.joinable()) {
            push(finish_replies{.limit = steady_now() + std::chrono::seconds(2)});
            thread_.join();
            messages_.close();
            front_end_.stop();
        }
    }

private:
    daemon_settings listening(daemon_settings_fields fields) const
    {
        fields.listen = address_;
        return daemon_settings{std::move(fields)};
    }

    void push(responder_message message) { static_cast<void>(messages_.push(std::move(message))); }

    bool submit(decision_event event)
    {
        if (const auto* request = std::get_if<caller_request>(&event)) {
            return requests_.try_push(*request);
        }
        if (const auto* report = std::get_if<report_request>(&event)) {
            const request_handle handle = (*report)->handle;
            push((*report)->kind == report_kind::metrics
                     ? decision_answer{metrics_report{{.handle = handle}}}
                     : decision_answer{health_report{{.handle = handle, .ready = true, .reason = "serving"}}});
        }
        return true;
    }

    void run()
    {
        while (!responder_.finished(steady_now())) {
            const instant limit = steady_now() + std::chrono::milliseconds(100);
            auto message = messages_.pop_until(std::min(responder_.next().value_or(limit), limit));
            if (message) {
                responder_.handle(std::move(*message), steady_now());
            }
            responder_.tick(steady_now());
        }
    }

    std::string address_;
    bounded_ring<responder_message> messages_{{.capacity = 1024}};
    bounded_ring<caller_request> requests_{{.capacity = 1024}};
    responder responder_;
    http_front_end front_end_;
    std::thread thread_;
};

} // namespace citronfall::testing
