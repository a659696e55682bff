/// \file
/// The subcommands of the limpetlock binary. Each reads its flags and returns the exit code of the process.
#pragma once

namespace limpetlock::tool {

/// Exit codes of the process. requests_cut: the instance stopped, but requests in flight were cut.
enum class exit_code { success = 0, failure = 1, wrong_usage = 2, invalid_input = 3, requests_cut = 4 };

/// Runs an instance with a settings file.
exit_code serve();
/// Runs an instance with the settings that the platform provides.
exit_code serve_platform();
/// Validates a settings file, a configuration document or both.
exit_code check();
/// Prints the state dump of a running instance.
exit_code state();
/// Prints an annotated settings file.
exit_code example();
exit_code version();

} // namespace limpetlock::tool
