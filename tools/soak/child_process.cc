#include "soak/child_process.h"

#include <csignal>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace citronfall::soak {
namespace {

constexpr int killed_by_signal = 128;
constexpr int cannot_start = 127;

/// Replaces the child process by the program. Does not return.
[[noreturn]] void run(const std::vector<std::string>& command, const std::string& output_file)
{
    const int output = ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // A listening socket that the child inherits would keep its port in use after this process has closed it.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::vector<char*> arguments;
    for (const std::string& each : command) {
        arguments.push_back(const_cast<char*>(each.c_str()));
    }
    arguments.push_back(nullptr);
    ::execv(arguments.front(), arguments.data());
    ::_exit(cannot_start);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& output_file)
    : process_(::fork())
{
    if (process_ == 0) {
        run(command, output_file);
    }
}

child_process::~child_process()
{
    if (!ended()) {
        signal(SIGKILL);
        int status = 0;
        ::waitpid(process_, &status, 0);
    }
}

void child_process::signal(int number)
{
    if (!ended() && process_ > 0) {
        ::kill(process_, number);
    }
}

std::optional<int> child_process::ended()
{
    int status = 0;
    if (!status_ && process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
        status_ = WIFEXITED(status) ? WEXITSTATUS(status) : killed_by_signal + WTERMSIG(status);
    }
    return status_;
}

} // namespace citronfall::soak
