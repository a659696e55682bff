/// \file
/// The subcommands of the limpetlock binary. Each reads its flags and returns the exit code of the process.
#pragma once

namespace limpetlock::tool {

enum class exit_code { success = 0, failure = 1, wrong_usage = 2, invalid_input = 3, requests_cut = 4 };

exit_code serve();
exit_code serve_platform();
exit_code check();
exit_code state();
exit_code example();
exit_code version();

} // namespace limpetlock::tool
