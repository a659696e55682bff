/// \file
/// File access and the small document that the tests patch.
#pragma once

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace limpetlock::config::testing {

inline std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    cr_assert(file.good(), "can't read %s", path.c_str());
    std::ostringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

/// Returns the text of golden/base.json with a merge patch applied.
inline std::string base_text(const std::string& patch = "{}")
{
    auto it = nlohmann::json::parse(read_file(std::string(LIMPETLOCK_GOLDEN_DIR) + "/base.json"));
    it.merge_patch(nlohmann::json::parse(patch));
    return it.dump();
}

} // namespace limpetlock::config::testing
