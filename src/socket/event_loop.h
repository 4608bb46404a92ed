#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace citronfall {

/// Reports an unexpected exception on a thread; may block.
using failure_hook = std::function<void(const std::string& what)>;

/// Runs the handlers of an event loop until it is stopped. An exception ends only the handler that threw it, and is
/// reported. Thread-safe if `failed` is.
void run_event_loop(boost::asio::io_context& context, const failure_hook& failed);

} // namespace citronfall
