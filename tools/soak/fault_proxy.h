#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace citronfall::soak {

/// Fault of a link.
enum class link_fault {
    none,
    delayed,   ///< Bytes are forwarded after a delay.
    silent,    ///< Nothing is forwarded in either direction; connections stay open.
    no_answer, ///< Requests are forwarded, answers are not.
    resetting, ///< Open and new connections are reset.
};

/// Settings of a proxy.
struct fault_proxy_options {
    std::string listen;                              ///< "ip:port"
    std::string target;                              ///< "ip:port"
    duration delay = std::chrono::milliseconds(100); ///< Delay of a delayed link in each direction.
};

/// A TCP proxy on loopback that injects faults into the connections through it.
///
/// Bytes that a fault holds back are forwarded when it ends. Not thread-safe: used on the thread that runs the loop.
class fault_proxy {
public:
    /// Error (bad_request): an address is malformed or in use. Precondition: `loop` outlives the proxy.
    [[nodiscard]] static result<std::unique_ptr<fault_proxy>> make(boost::asio::io_context& loop,
                                                                   fault_proxy_options options);

    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    void set_fault(link_fault fault);

private:
    class impl;

    explicit fault_proxy(std::shared_ptr<impl> all);

    std::shared_ptr<impl> impl_;
};

} // namespace citronfall::soak
