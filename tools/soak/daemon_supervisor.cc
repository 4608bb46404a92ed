#include "soak/daemon_supervisor.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace citronfall::soak {
namespace {

/// Delay after which the platform restarts a process.
constexpr duration restart_delay = std::chrono::milliseconds(200);

/// Allowance for the delivery of the signal and for noticing the exit.
constexpr duration exit_notice_allowance = std::chrono::milliseconds(500);

} // namespace

daemon_supervisor::daemon_supervisor(daemon_supervisor_options options, instant now) : options_(std::move(options))
{
    start(now);
}

void daemon_supervisor::start(instant now)
{
    process_ = std::make_unique<child_process>(options_.command, options_.output_file);
    started_at_ = now;
    stop_due_ = false;
    reload_due_ = false;
    killed_ = false;
    end_by_.reset();
    resume_at_.reset();
    restart_at_.reset();
}

void daemon_supervisor::kill(instant now)
{
    static_cast<void>(now);
    killed_ = true;
    process_->signal(SIGKILL);
}

void daemon_supervisor::stop(instant now)
{
    stop_due_ = !end_by_;
    send_due_signals(now);
}

void daemon_supervisor::send_due_signals(instant now)
{
    if (now < started_at_ + options_.signal_age) {
        return;
    }
    if (std::exchange(reload_due_, false)) {
        process_->signal(SIGHUP);
        options_.signalled(planned_work_kind::reload, now);
    }
    if (std::exchange(stop_due_, false)) {
        end_by_ = now + options_.grace + exit_notice_allowance;
        process_->signal(SIGTERM);
        options_.signalled(planned_work_kind::stop, now);
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

void daemon_supervisor::reload_settings(instant now)
{
    reload_due_ = true;
    send_due_signals(now);
}

void daemon_supervisor::tick(instant now)
{
    if (resume_at_ && now >= *resume_at_) {
        resume_at_.reset();
        process_->signal(SIGCONT);
    }
    if (restart_at_) {
        if (now >= *restart_at_) {
            start(now);
        }
        return;
    }
    send_due_signals(now);
    if (const auto status = process_->ended()) {
        check_exit(*status);
        restart_at_ = now + restart_delay;
    } else if (end_by_ && now > *end_by_) {
        violations_.emplace_back("grace: a daemon still runs after its grace period");
        kill(now);
    }
}

void daemon_supervisor::check_exit(int status)
{
    if (killed_) {
        return;
    }
    if (!end_by_ || status != 0) {
        violations_.push_back("exit: a daemon ended unexpectedly with status " + std::to_string(status));
    }
}

bool daemon_supervisor::finish(instant now)
{
    if (const auto status = process_->ended()) {
        if (!restart_at_) {
            check_exit(*status);
        }
        restart_at_ = now; // Counts the exit only once.
        return true;
    }
    if (resume_at_) {
        resume_at_.reset();
        process_->signal(SIGCONT);
    }
    stop(now);
    if (end_by_ && now > *end_by_) {
        violations_.emplace_back("grace: a daemon still runs after its grace period");
        kill(now);
    }
    return false;
}

} // namespace citronfall::soak
