#pragma once

#include "citronfall/result.h"
#include "directory/service_directory.h"
#include "gateway/caller_server.h"
#include "gateway/gateway_settings.h"
#include "gateway/member_client.h"
#include "mirror/store_answer.h"
#include "pool/replication_status.h"

#include <functional>
#include <memory>
#include <string>

namespace citronfall {

/// Access to a client of the platform's key-value store. `run` is the body of a dedicated thread.
struct store_client_hooks {
    std::function<bool(const store_call&)> try_push; ///< Queues a call; false if the queue is full. Thread-safe.
    std::function<void()> run;
    std::function<void()> stop; ///< Thread-safe.
};

/// Codecs, keys and clients of the users' platform, supplied by the program.
struct platform_adapter {
    service_directory_keys keys;
    std::string configuration_prefix;
    std::function<caller_decoder(session_number)> make_caller_decoder;
    std::function<std::string(const caller_reply&)> encode_reply;
    std::function<member_decoder(connection_number)> make_member_decoder;
    std::function<std::string(const open_member_connection&)> encode_open;
    std::function<std::string(const send_queries&)> encode_queries;
    std::function<result<replication_status>(const std::string&)> read_status;
    std::function<result<service_configuration>(std::string_view)> read_service_configuration;
    std::function<result<member_registration>(std::string_view, std::string_view)> read_member;
    std::function<result<store_client_hooks>(const gateway_settings&, std::function<void(const store_answer&)>,
                                             failure_hook)>
        make_store_client;
    std::function<result<gateway_settings>()> read_settings; ///< Reads the settings file.
};

/// A proxy daemon on the users' platform: one thread for each duty, joined by bounded rings.
///
/// run() blocks until the daemon has shut down; terminate() and reload() are thread-safe.
class gateway {
public:
    /// Binds all addresses. Error (bad_request): an address is malformed or in use, or a chart does not match its
    /// bindings.
    [[nodiscard]] static result<std::unique_ptr<gateway>> make(const gateway_settings& settings,
                                                               platform_adapter platform);

    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(gateway&&) = delete;

    /// Serves callers until the shutdown is complete.
    void run();

    /// Starts a graceful shutdown.
    void terminate();

    /// Reads the settings file again and logs whether it has changed; changes take effect at the next start.
    void reload();

private:
    class impl;

    explicit gateway(std::unique_ptr<impl> implementation);

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
