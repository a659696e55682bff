/// \file
/// Runs a script of commands against an object and compares the recorded results with a golden file.
#pragma once

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace limpetlock::test {

using words = std::vector<std::string>;

/// Splits each line of golden/NAME.script into words and passes them to `step`. The lines, each followed by
/// the result of its step, must equal golden/NAME.expected. Empty lines and lines whose first word is "#"
/// have no step. LIMPETLOCK_REWRITE_GOLDEN=1 rewrites the expected file instead of comparing it.
inline void check_session(const std::string& name, const std::function<std::string(const words&)>& step)
{
    const std::string base = std::string(LIMPETLOCK_GOLDEN_DIR) + "/" + name;
    std::ifstream script(base + ".script");
    cr_assert(script.is_open(), "no script %s", base.c_str());
    std::string recorded;
    for (std::string line; std::getline(script, line);) {
        recorded += line + "\n";
        std::istringstream in(line);
        words parts;
        for (std::string it; in >> it;)
            parts.push_back(it);
        if (!parts.empty() && parts[0] != "#")
            recorded += "    -> " + step(parts) + "\n";
    }
    if (const char* it = std::getenv("LIMPETLOCK_REWRITE_GOLDEN"); it != nullptr && std::string(it) == "1") {
        std::ofstream(base + ".expected") << recorded;
        return;
    }
    std::ifstream golden(base + ".expected");
    std::stringstream expected;
    expected << golden.rdbuf();
    cr_assert(recorded == expected.str(), "session %s differs, now:\n%s", name.c_str(), recorded.c_str());
}

} // namespace limpetlock::test
