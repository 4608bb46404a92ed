#include "socket/event_loop.h"

#include <exception>

namespace citronfall {

void run_event_loop(boost::asio::io_context& context, const failure_hook& failed)
{
    while (!context.stopped()) {
        try {
            context.run();
            return;
        } catch (const std::exception& problem) {
            if (failed) {
                failed(problem.what());
            }
        }
    }
}

} // namespace citronfall
