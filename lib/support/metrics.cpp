#include <limpetlock/support/metrics.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <stdexcept>
#include <variant>

namespace limpetlock::metrics {

namespace {

constexpr std::string_view overflow_name = "limpetlock_metrics_overflow_total";
constexpr std::string_view overflow_help = "Lookups that exceeded the label sets of a family.";
constexpr std::string_view overflow_value = "other";

bool is_name_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
}

void check_name(std::string_view name)
{
    const bool digit_first = !name.empty() && name.front() >= '0' && name.front() <= '9';
    if (name.empty() || digit_first || !std::all_of(name.begin(), name.end(), is_name_char))
        throw std::invalid_argument("malformed metric or label name: " + std::string(name));
}

void append_escaped(std::string& out, std::string_view text, bool escape_quotes)
{
    for (const char c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (escape_quotes && c == '"'))
            out += '\\';
        out += c;
    }
}

/// Formats labels without braces. They are sorted by name, so that equal sets have equal text.
std::string format_labels(labels set)
{
    std::sort(set.begin(), set.end());
    std::string result;
    for (const auto& [name, value] : set) {
        check_name(name);
        if (!result.empty())
            result += ',';
        result += name;
        result += "=\"";
        append_escaped(result, value, true);
        result += '"';
    }
    return result;
}

/// Joins formatted labels and puts them in braces. Returns an empty string if there are none.
std::string format_label_set(const std::string& text, const std::string& more = {})
{
    if (text.empty() && more.empty())
        return {};
    return '{' + text + (text.empty() || more.empty() ? "" : ",") + more + '}';
}

/// Metrics of one family by their formatted labels.
template <typename Metric>
using series = std::map<std::string, std::unique_ptr<Metric>, std::less<>>;

using any_series = std::variant<series<counter>, series<gauge>, series<summary>>;

/// In the order of the alternatives of any_series.
constexpr std::array<std::string_view, 3> type_names{"counter", "gauge", "summary"};

struct family {
    std::string help;
    any_series members;
};

void render_metric(std::string& out, const std::string& name, const std::string& text, const counter& it)
{
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", name, format_label_set(text), it.value());
}

void render_metric(std::string& out, const std::string& name, const std::string& text, const gauge& it)
{
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", name, format_label_set(text), it.value());
}

void render_metric(std::string& out, const std::string& name, const std::string& text, const summary& it)
{
    const auto now = it.read();
    const auto to = std::back_inserter(out);
    for (std::size_t n = 0; n < summary::probabilities.size(); ++n) {
        const auto label = fmt::format("quantile=\"{}\"", summary::probabilities[n]);
        fmt::format_to(to, "{}{} {}\n", name, format_label_set(text, label),
                       now.count == 0 ? "NaN" : fmt::format("{}", now.quantiles[n]));
    }
    fmt::format_to(to, "{}_sum{} {}\n", name, format_label_set(text), now.sum);
    fmt::format_to(to, "{}_count{} {}\n", name, format_label_set(text), now.count);
}

} // namespace

struct registry::impl {
    explicit impl(std::size_t bound) : max_label_sets(bound) {}

    template <typename Metric>
    Metric& get(std::string_view name, std::string_view help, const labels& set);
    template <typename Metric>
    Metric* find(std::string_view name, const std::string& text) const;
    template <typename Metric>
    Metric& insert(std::string_view name, std::string_view help, const labels& set, std::string text);

    const std::size_t max_label_sets; ///< for each family
    mutable std::shared_mutex mutex;
    std::map<std::string, family, std::less<>> families;
    counter overflow;
};

template <typename Metric>
Metric& registry::impl::get(std::string_view name, std::string_view help, const labels& set)
{
    auto text = format_labels(set);
    {
        const std::shared_lock lock(mutex);
        if (auto* it = find<Metric>(name, text))
            return *it;
    }
    const std::unique_lock lock(mutex);
    return insert<Metric>(name, help, set, std::move(text));
}

template <typename Metric>
Metric* registry::impl::find(std::string_view name, const std::string& text) const
{
    const auto found = families.find(name);
    if (found == families.end())
        return nullptr;
    const auto* members = std::get_if<series<Metric>>(&found->second.members);
    if (!members)
        throw std::logic_error("metric " + std::string(name) + " is already used with another type");
    const auto it = members->find(text);
    return it == members->end() ? nullptr : it->second.get();
}

template <typename Metric>
Metric& registry::impl::insert(std::string_view name, std::string_view help, const labels& set,
                               std::string text)
{
    check_name(name);
    if (auto* it = find<Metric>(name, text))
        return *it;
    auto found = families.find(name);
    if (found == families.end())
        found = families.emplace(std::string(name), family{std::string(help), series<Metric>()}).first;
    auto& members = std::get<series<Metric>>(found->second.members);
    if (members.size() >= max_label_sets) {
        overflow.add();
        auto common = set;
        for (auto& [label, value] : common)
            value = overflow_value;
        text = format_labels(std::move(common));
    }
    auto& it = members[std::move(text)];
    if (!it)
        it = std::make_unique<Metric>();
    return *it;
}

registry::registry(std::size_t max_label_sets) : impl_(std::make_unique<impl>(max_label_sets)) {}

registry::~registry() = default;

counter& registry::get_counter(std::string_view name, std::string_view help, const labels& set)
{
    return impl_->get<counter>(name, help, set);
}

gauge& registry::get_gauge(std::string_view name, std::string_view help, const labels& set)
{
    return impl_->get<gauge>(name, help, set);
}

summary& registry::get_summary(std::string_view name, std::string_view help, const labels& set)
{
    return impl_->get<summary>(name, help, set);
}

std::string registry::render() const
{
    std::string out;
    const auto render_header = [&out](std::string_view name, std::string_view help, std::string_view type) {
        fmt::format_to(std::back_inserter(out), "# HELP {} ", name);
        append_escaped(out, help, false);
        fmt::format_to(std::back_inserter(out), "\n# TYPE {} {}\n", name, type);
    };
    const std::shared_lock lock(impl_->mutex);
    for (const auto& [name, it] : impl_->families) {
        render_header(name, it.help, type_names[it.members.index()]);
        const auto render_all = [&out, &key = name](const auto& members) {
            for (const auto& [text, metric] : members)
                render_metric(out, key, text, *metric);
        };
        std::visit(render_all, it.members);
    }
    render_header(overflow_name, overflow_help, type_names[0]);
    render_metric(out, std::string(overflow_name), {}, impl_->overflow);
    return out;
}

} // namespace limpetlock::metrics
