#include "session.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace limpetlock;

namespace {

std::string read(const std::filesystem::path& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

// Guards the decisions of the claim objects in the sessions under golden/. The first line of each session
// names the failure that it guards against.
Test(claims, golden_sessions)
{
    const bool rewrite = std::getenv("LIMPETLOCK_REWRITE_GOLDEN") != nullptr;
    std::set<std::filesystem::path> paths;
    for (const auto& it : std::filesystem::directory_iterator(LIMPETLOCK_GOLDEN_DIR))
        paths.insert(it.path());
    cr_assert_geq(paths.size(), 16U, "golden sessions are missing");
    for (const auto& path : paths) {
        const auto expected = read(path);
        const auto actual = testing::session().run(expected);
        if (rewrite)
            std::ofstream(path) << actual;
        else
            cr_expect_str_eq(actual.c_str(), expected.c_str(), "%s differs:\n%s", path.filename().c_str(),
                             actual.c_str());
    }
}
