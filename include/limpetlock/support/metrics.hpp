/// \file
/// Metrics of the process and their text exposition format. Counters and gauges are atomic, so code that has
/// a reference to one needs no lock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetlock::metrics {

/// Label names and values. Their order has no meaning.
using labels = std::vector<std::pair<std::string, std::string>>;

class counter;
class gauge;
class summary;

/// Holds the families of metrics by name, each with one series for each set of labels. References to metrics
/// stay valid as long as the registry exists. Safe for use from any thread.
///
/// A family creates at most max_label_sets series. Further label sets share one series whose label values are
/// all "other", and limpetlock_metrics_overflow_total counts the lookups that return it. Callers who choose
/// label values, such as team names, can't exhaust the memory that way.
///
/// The getters throw std::invalid_argument for a malformed name and std::logic_error for a name that another
/// type of metric has. Both are programming errors.
class registry {
public:
    static constexpr std::size_t default_max_label_sets = 512;

    explicit registry(std::size_t max_label_sets = default_max_label_sets);
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    counter& get_counter(std::string_view name, std::string_view help, const labels& set = {});
    gauge& get_gauge(std::string_view name, std::string_view help, const labels& set = {});
    summary& get_summary(std::string_view name, std::string_view help, const labels& set = {});

    /// Returns all metrics in the text exposition format. Families are sorted by name, and their series by
    /// labels; limpetlock_metrics_overflow_total comes last.
    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::metrics

#include <limpetlock/support/metrics_types.hpp>
