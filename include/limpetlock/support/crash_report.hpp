/// \file
/// Writes the call stack to the log when a signal such as SIGSEGV ends the process.
#pragma once

namespace limpetlock::log {

/// Installs handlers for SIGSEGV, SIGBUS, SIGABRT, SIGFPE and SIGILL. A handler writes one log line and the
/// call stack to standard output and ends the process with the same signal. The addresses are offsets into
/// the named object files, as addr2line takes them.
void install_crash_report();

} // namespace limpetlock::log
