#include <limpetlock/support/crash_report.hpp>

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string_view>

namespace limpetlock::log {

namespace {

constexpr int max_stack_frames = 32;

/// Size of the stack of the signal handler, which lets it run after a stack overflow.
constexpr std::size_t signal_stack_bytes = std::size_t{64} * 1024;

std::array<char, signal_stack_bytes> signal_stack;

void report_signal(int number)
{
    constexpr std::string_view line = "level=error event=crashed stack follows\n";
    std::array<void*, max_stack_frames> frames{};
    [[maybe_unused]] const auto n = write(STDOUT_FILENO, line.data(), line.size());
    backtrace_symbols_fd(frames.data(), backtrace(frames.data(), max_stack_frames), STDOUT_FILENO);
    std::signal(number, SIG_DFL);
    std::raise(number);
}

} // namespace

void install_crash_report()
{
    // The first call of backtrace() loads a library, which is not safe in a signal handler.
    std::array<void*, 1> frame{};
    backtrace(frame.data(), 1);
    stack_t stack{};
    stack.ss_sp = signal_stack.data();
    stack.ss_size = signal_stack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action {};
    action.sa_handler = report_signal;
    action.sa_flags = SA_ONSTACK;
    for (const int it : {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL})
        sigaction(it, &action, nullptr);
}

} // namespace limpetlock::log
