/// \file
/// Golden files of whole sessions: a line that begins with "> " is a command of the script, the lines after
/// it are the decisions of the instances. LIMPETLOCK_REWRITE_GOLDEN=1 rewrites the files.
#include "scripted_fleet.hpp"
#include "test_support.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace limpetlock;
using namespace limpetlock::config;
using namespace limpetlock::config::testing;

namespace {

class session {
public:
    session()
        : fleet_({}, [this](time_point at, const std::string& name, const std::string& what) {
              out_ += fmt::format("{:>6} {} {}\n", to_ms(at), name, what);
          })
    {
    }

    /// Runs one command of the script and returns the lines that it produced.
    std::string run(const std::string& line)
    {
        out_.clear();
        std::istringstream words(line);
        std::string command;
        words >> command;
        execute(command, words);
        return out_;
    }

private:
    void execute(const std::string& command, std::istringstream& words)
    {
        if (command == "list")
            list(words);
        else if (command == "start")
            each(words, [this](const std::string& it) { fleet_.start(it); });
        else if (command == "stop")
            each(words, [this](const std::string& it) { fleet_.stop(it); });
        else if (command == "service")
            set_service(words);
        else if (command == "document")
            fleet_.publish(document_entry(words));
        else if (command == "document-to")
            publish_to(words);
        else if (command == "patch")
            fleet_.publish(patch_entry(words));
        else if (command == "cut")
            cut(words);
        else if (command == "heal")
            fleet_.heal();
        else if (command == "run")
            fleet_.run(duration(next<std::int64_t>(words)));
        else if (command == "check")
            check(words);
        else if (command == "state")
            state();
        else
            cr_assert_fail("unknown command %s", command.c_str());
    }

    template <typename T>
    static T next(std::istringstream& words)
    {
        T it{};
        words >> it;
        cr_assert(!words.fail(), "a word is missing in the script");
        return it;
    }

    static std::string rest(std::istringstream& words)
    {
        std::string it;
        std::getline(words >> std::ws, it);
        return it;
    }

    template <typename Do>
    static void each(std::istringstream& words, Do it)
    {
        for (std::string name; words >> name;)
            it(name);
    }

    void list(std::istringstream& words)
    {
        std::vector<instance> instances;
        each(words, [&](const std::string& it) {
            const auto at = it.find('@');
            instances.push_back({it.substr(0, at), it.substr(at + 1), false});
        });
        fleet_.set_instances(instances);
    }

    void set_service(std::istringstream& words)
    {
        const auto mode = next<std::string>(words);
        if (mode == "stale")
            return fleet_.set_service(service_mode::stale, next<std::int64_t>(words));
        fleet_.set_service(mode == "down" ? service_mode::down : service_mode::ok);
    }

    static entry document_entry(std::istringstream& words)
    {
        entry it;
        it.kind = entry_kind::document;
        it.author = next<std::string>(words);
        it.base = next<std::int64_t>(words);
        it.number = next<std::int64_t>(words);
        it.body = base_text(rest(words));
        return it;
    }

    static entry patch_entry(std::istringstream& words)
    {
        entry it;
        it.kind = entry_kind::patch;
        it.author = next<std::string>(words);
        it.base = next<std::int64_t>(words);
        it.body = rest(words);
        return it;
    }

    void publish_to(std::istringstream& words)
    {
        const auto reader = next<std::string>(words);
        const auto revision = next<std::int64_t>(words);
        entry it = document_entry(words);
        it.revision = revision;
        fleet_.publish_to(reader, it);
    }

    void cut(std::istringstream& words)
    {
        const auto a = next<std::string>(words);
        fleet_.cut(a, next<std::string>(words));
    }

    void check(std::istringstream& words)
    {
        const auto name = next<std::string>(words);
        const auto base = next<std::int64_t>(words);
        const auto it = fleet_.fold_of(name).check(base, rest(words));
        out_ += fmt::format("       {} check {} number={} reason={}", name, to_string(it.result), it.number,
                            it.reason);
        for (const std::string& path : it.changes)
            out_ += fmt::format(" changes={}", path);
        out_ += "\n";
    }

    void state()
    {
        for (const std::string& name : fleet_.running()) {
            const auto version = fleet_.fold_of(name).in_force();
            const auto& decisions = fleet_.sync_of(name);
            out_ +=
                fmt::format("       {} number={} claims_number={} digest={} ready={} diverged={} watches={} "
                            "stale_revisions={} stale_numbers={}\n",
                            name, version ? version->number : 0, version ? version->claims_number : 0,
                            version ? version->digest().substr(0, 8) : "none", decisions.ready(),
                            decisions.diverged(fleet_.now()), decisions.watches(),
                            decisions.counters().stale_revisions, decisions.counters().stale_numbers);
        }
    }

    scripted_fleet fleet_;
    std::string out_;
};

std::string play(const std::string& recorded)
{
    session it;
    std::istringstream lines(recorded);
    std::string out;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("#", 0) == 0)
            out += line + "\n";
        if (line.rfind("> ", 0) == 0)
            out += line + "\n" + it.run(line.substr(2));
    }
    return out;
}

void check_golden(const std::string& name)
{
    const std::string path = std::string(LIMPETLOCK_GOLDEN_DIR) + "/" + name + ".txt";
    const std::string recorded = read_file(path);
    const std::string played = play(recorded);
    const char* rewrite = std::getenv("LIMPETLOCK_REWRITE_GOLDEN");
    if (rewrite != nullptr && std::string_view(rewrite) == "1") {
        std::ofstream(path) << played;
        return;
    }
    cr_assert(played == recorded, "%s differs; the session now gives:\n%s", path.c_str(), played.c_str());
}

} // namespace

// Guards against an operator's change that overwrites another operator's, in either order.
Test(golden, two_operators)
{
    check_golden("two_operators");
}
Test(golden, two_operators_other_order)
{
    check_golden("two_operators_other_order");
}

// Guards against a patch that is accepted although it was made against an old number.
Test(golden, stale_patch)
{
    check_golden("stale_patch");
}

// Guards against an invalid patch that is applied in part.
Test(golden, invalid_patch)
{
    check_golden("invalid_patch");
}

// Guards against a reverted configuration when a replica of the service returns with an old state.
Test(golden, stale_replica)
{
    check_golden("stale_replica");
}

// Guards against a new instance that waits for the service although its peers have the configuration.
Test(golden, replaced_in_outage)
{
    check_golden("replaced_in_outage");
}

// Guards against two contents under one number that no instance reports.
Test(golden, two_contents)
{
    check_golden("two_contents");
}

// Guards against instances that keep the old configuration of their side after a partition has healed.
Test(golden, partition)
{
    check_golden("partition");
}

// Guards against instances that do not watch and miss a change, also when all watchers are lost.
Test(golden, watchers_lost)
{
    check_golden("watchers_lost");
}
