/// \file
/// Metrics of the process and their text exposition. Counters and gauges are atomics; a holder of a reference
/// needs no lock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetlock::metrics {

/// Label names and values. The order doesn't matter.
using labels = std::vector<std::pair<std::string, std::string>>;

class counter;
class gauge;
class summary;

/// Holds families of metrics by name and one series for each set of labels. References stay valid for the
/// life of the registry. Safe for use from any thread.
///
/// A family holds at most max_label_sets series. Further label sets share one series whose label values are
/// all "other", and limpetlock_metrics_overflow_total counts the lookups that ended there; so a caller who
/// invents label values can't fill the memory.
///
/// Throws std::invalid_argument for a malformed name and std::logic_error for a name that is already used
/// with another type: both are faults of the program.
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

    /// All metrics in the text exposition format, families and series in the order of their names.
    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::metrics

#include <limpetlock/support/metrics_types.hpp>
