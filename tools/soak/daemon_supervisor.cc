#include "soak/daemon_supervisor.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace citronfall::soak {
namespace {

/// Delay after which the platform restarts a process.
constexpr duration start_delay = std::chrono::milliseconds(200);

/// Allowance for the delivery of the signal and for noticing the exit.
constexpr duration notice_slack = std::chrono::milliseconds(500);

} // namespace

daemon_supervisor::daemon_supervisor(daemon_supervisor_options options, instant now) : options_(std::move(options))
{
    start(now);
}

void daemon_supervisor::start(instant now)
{
    static_cast<void>(now);
    process_ = std::make_unique<child_process>(options_.command, options_.output_file);
    killed_ = false;
    end_by_.reset();
    resume_at_.reset();
    start_at_.reset();
}

void daemon_supervisor::kill(instant now)
{
    static_cast<void>(now);
    killed_ = true;
    process_->signal(SIGKILL);
}

void daemon_supervisor::stop(instant now)
{
    if (!end_by_) {
        end_by_ = now + options_.grace + notice_slack;
        process_->signal(SIGTERM);
    }
}

void daemon_supervisor::pause(duration length, instant now)
{
    resume_at_ = std::max(resume_at_.value_or(now), now + length);
    if (end_by_) {
        *end_by_ += length;
    }
    process_->signal(SIGSTOP);
}

void daemon_supervisor::hang_up()
{
    process_->signal(SIGHUP);
}

void daemon_supervisor::tick(instant now)
{
    if (resume_at_ && now >= *resume_at_) {
        resume_at_.reset();
        process_->signal(SIGCONT);
    }
    if (start_at_) {
        if (now >= *start_at_) {
            start(now);
        }
        return;
    }
    if (const auto status = process_->ended()) {
        note_end(*status);
        start_at_ = now + start_delay;
    } else if (end_by_ && now > *end_by_) {
        broken_.emplace_back("grace: a daemon still runs after its grace period");
        kill(now);
    }
}

void daemon_supervisor::note_end(int status)
{
    if (killed_) {
        return;
    }
    if (!end_by_ || status != 0) {
        broken_.push_back("exit: a daemon ended unexpectedly with status " + std::to_string(status));
    }
}

bool daemon_supervisor::finish(instant now)
{
    if (const auto status = process_->ended()) {
        if (!start_at_) {
            note_end(*status);
        }
        start_at_ = now; // Counts the exit only once.
        return true;
    }
    if (resume_at_) {
        resume_at_.reset();
        process_->signal(SIGCONT);
    }
    stop(now);
    if (now > *end_by_) {
        broken_.emplace_back("grace: a daemon still runs after its grace period");
        kill(now);
    }
    return false;
}

} // namespace citronfall::soak
