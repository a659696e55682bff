/// \file
/// Entry point of the limpetlock binary: runs the subcommand and returns its exit code.
#include "commands.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <string_view>

namespace {

using limpetlock::tool::exit_code;

struct subcommand {
    std::string_view name;
    std::string_view summary;
    exit_code (*run)();
};

constexpr std::array subcommands{
    subcommand{"serve", "run an instance", limpetlock::tool::serve},
    subcommand{"platform", "run an instance on the Steppe Ice platform, with the settings that it provides",
               limpetlock::tool::serve_platform},
    subcommand{"check", "check a settings file and a configuration document without starting",
               limpetlock::tool::check},
    subcommand{"state", "print the state dump of a running instance", limpetlock::tool::state},
    subcommand{"example", "print an annotated settings file", limpetlock::tool::example},
    subcommand{"version", "print the version", limpetlock::tool::version},
};

std::string usage_text()
{
    std::string out = "usage: limpetlock SUBCOMMAND [--flag=value ...]\n\nSubcommands:\n";
    for (const auto& it : subcommands)
        out += fmt::format("  {:<9} {}\n", it.name, it.summary);
    out +=
        "\nFlags:\n"
        "  --settings=FILE  settings of the instance (serve, check)\n"
        "  --config=FILE    configuration document to check (check)\n"
        "  --admin=IP:PORT  admin listener of a running instance (state)\n"
        "  --stage_admission   refuse requests whose stages can't be done in time before the first one "
        "(platform)\n"
        "  --team_turns        let teams take turns while one of them floods a stage pool (platform)\n"
        "  --second_attempt_share=S, --second_attempt_min_delay_ms=MS, --second_attempt_kinds=read,stream\n"
        "                   second attempts against slow answers; off unless S is above 0 (platform)\n"
        "\nExit codes: 0 success, 1 failure, 2 wrong usage, 3 invalid settings or configuration, 4 "
        "stopped after\n"
        "requests had to be cut.\n";
    return out;
}

int print_usage(std::FILE* to, exit_code result)
{
    fmt::print(to, "{}", usage_text());
    return static_cast<int>(result);
}

bool is_help(std::string_view text)
{
    return text == "--help" || text == "-h" || text == "help";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
        return print_usage(stderr, exit_code::wrong_usage);
    const std::string_view name = argv[1];
    if (is_help(name) || (argc > 2 && is_help(argv[2])))
        return print_usage(stdout, exit_code::success);
    if (name == "--version")
        return static_cast<int>(limpetlock::tool::version());
    for (const auto& it : subcommands) {
        if (it.name != name)
            continue;
        int count = argc - 1;
        char** rest = argv + 1;
        gflags::ParseCommandLineNonHelpFlags(&count, &rest, true);
        if (count > 1) {
            fmt::print(stderr, "limpetlock: unexpected argument '{}'\n", rest[1]);
            return print_usage(stderr, exit_code::wrong_usage);
        }
        return static_cast<int>(it.run());
    }
    fmt::print(stderr, "limpetlock: unknown subcommand '{}'\n", name);
    return print_usage(stderr, exit_code::wrong_usage);
}
