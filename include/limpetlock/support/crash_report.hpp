/// \file
/// A last log line with the call stack when the process dies of a fault of its own.
#pragma once

namespace limpetlock::log {

/// Installs handlers for the signals of such faults. They write one line to standard output and end the
/// process with the same signal. Addresses are offsets into the named objects, for addr2line.
void install_crash_report();

} // namespace limpetlock::log
