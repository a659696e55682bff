#include "json.hpp"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace limpetlock::config {

namespace {

/// Bounds the length of a message about many problems.
constexpr std::size_t max_shown_problems = 8;

/// A parser callback that records duplicate keys and excessive nesting.
class structure_check {
public:
    explicit structure_check(problem_list& problems) : problems_(problems) {}

    bool operator()(int depth, json::parse_event_t event, const json& value)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            return open(depth, event == json::parse_event_t::array_start);
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            close(depth);
            return true;
        case json::parse_event_t::key:
            record_key(depth, value);
            return true;
        case json::parse_event_t::value:
            next_element();
            return true;
        }
        return true;
    }

private:
    struct level {
        bool is_array{};
        std::size_t index{};
        std::string key;
        std::set<std::string, std::less<>> keys;
    };

    bool open(int depth, bool is_array)
    {
        if (depth >= max_json_depth) {
            if (!too_deep_)
                problems_.push_back({path(), "is nested too deeply"});
            too_deep_ = true;
            return false;
        }
        levels_.push_back({is_array, 0, {}, {}});
        return true;
    }

    void close(int depth)
    {
        if (depth >= max_json_depth || levels_.empty())
            return;
        levels_.pop_back();
        next_element();
    }

    void record_key(int depth, const json& value)
    {
        if (depth > max_json_depth || levels_.empty())
            return;
        level& it = levels_.back();
        it.key = value.get<std::string>();
        if (!it.keys.insert(it.key).second)
            problems_.push_back({path(), "appears more than once"});
    }

    void next_element()
    {
        if (!levels_.empty() && levels_.back().is_array)
            ++levels_.back().index;
    }

    std::string path() const
    {
        std::string it;
        for (const level& n : levels_)
            it = n.is_array ? element_path(it, n.index) : member_path(it, n.key);
        return it;
    }

    problem_list& problems_;
    std::vector<level> levels_;
    bool too_deep_{};
};

} // namespace

std::optional<json> parse_json(std::string_view text, problem_list& problems, error_slot<errc>& last)
{
    structure_check check(problems);
    try {
        // The parser copies its callback, so the callback refers to the object that has the state.
        return json::parse(text, [&check](int depth, json::parse_event_t event, const json& value) {
            return check(depth, event, value);
        });
    } catch (const json::exception& e) {
        return last.fail(errc::malformed, fmt::format("not JSON: {}", e.what()));
    }
}

std::optional<json> parse_strict_json(std::string_view text, error_slot<errc>& last)
{
    problem_list problems;
    auto it = parse_json(text, problems, last);
    if (it && !problems.empty())
        return last.fail(errc::malformed, join_problems(problems));
    return it;
}

std::string member_path(std::string_view parent, std::string_view key)
{
    if (parent.empty())
        return std::string(key);
    return fmt::format("{}.{}", parent, key);
}

std::string element_path(std::string_view parent, std::size_t index)
{
    return fmt::format("{}[{}]", parent, index);
}

std::string join_problems(const problem_list& problems)
{
    std::string it;
    for (std::size_t n = 0; n < problems.size() && n < max_shown_problems; ++n) {
        const problem& p = problems[n];
        it += fmt::format("{}{}{}{}", n == 0 ? "" : "; ", p.path, p.path.empty() ? "" : ": ", p.reason);
    }
    if (problems.size() > max_shown_problems)
        it += fmt::format("; and {} more", problems.size() - max_shown_problems);
    return it;
}

} // namespace limpetlock::config
