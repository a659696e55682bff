#include "heap_meter.hpp"
#include "measurements.hpp"
#include "sample_document.hpp"

#include <limpetlock/config/fold.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace limpetlock::config {

namespace {

struct sample {
    double us{};
    std::int64_t allocated{};
    std::int64_t kept{};
};

/// Runs `work` once. `work` returns its result, so that the kept bytes are counted before the result is
/// freed.
template <typename Work>
sample measure_once(Work work)
{
    const heap_use before = current_heap_use();
    const auto start = std::chrono::steady_clock::now();
    const auto made = work();
    const auto end = std::chrono::steady_clock::now();
    const heap_use after = current_heap_use();
    if (!made)
        throw std::runtime_error("a measured operation failed");
    return {std::chrono::duration<double, std::micro>(end - start).count(),
            after.allocated - before.allocated, after.live - before.live};
}

template <typename Work>
cost_row measure(const std::string& operation, std::size_t teams, std::size_t repetitions, Work work)
{
    std::vector<sample> samples;
    for (std::size_t n = 0; n < repetitions; ++n)
        samples.push_back(measure_once([&] { return work(n); }));
    std::sort(samples.begin(), samples.end(), [](const sample& a, const sample& b) { return a.us < b.us; });
    const sample& median = samples[samples.size() / 2];
    return {operation,        teams,      0, median.us, samples[samples.size() * 99 / 100].us,
            median.allocated, median.kept};
}

std::string make_patch(std::size_t n, std::size_t teams)
{
    return fmt::format(R"({{"teams":{{"{}":{{"weight":{}}}}}}})", sample_team(n % teams), 1 + n % 7);
}

std::vector<cost_row> measure_size(std::size_t teams, std::size_t repetitions)
{
    const std::string text = sample_document(teams);
    fold store;
    store.apply(entry{1, "bench", entry_kind::document, 0, 1, text});
    if (!store.in_force())
        throw std::runtime_error(store.outcomes().back().reason);
    const peer_version sent = to_peer_version(*store.in_force());
    std::vector<cost_row> rows;
    rows.push_back(measure("parse document", teams, repetitions, [&](std::size_t) {
        error_slot<errc> last;
        return document::parse(text, last);
    }));
    // Holds the previous version during each fold, as requests that started under it do.
    rows.push_back(measure("fold patch", teams, repetitions, [&](std::size_t n) {
        const auto former = store.in_force();
        const auto made = store.apply(
            entry{store.revision() + 1, "bench", entry_kind::patch, store.number(), 0, make_patch(n, teams)});
        return made.result == verdict::accepted ? former : nullptr;
    }));
    rows.push_back(measure("refuse stale patch", teams, repetitions, [&](std::size_t n) {
        return store
                   .apply(entry{store.revision() + 1, "bench", entry_kind::patch, 1, 0, make_patch(n, teams)})
                   .result == verdict::stale_base;
    }));
    rows.push_back(measure("check patch", teams, repetitions, [&](std::size_t n) {
        return store.check(store.number(), make_patch(n, teams)).result == verdict::accepted;
    }));
    rows.push_back(measure("adopt version", teams, repetitions, [&](std::size_t) {
        fold it;
        it.adopt(sent, "peer");
        return it.in_force();
    }));
    for (cost_row& it : rows)
        it.document_bytes = text.size();
    return rows;
}

} // namespace

std::vector<cost_row> measure_costs(const std::vector<std::size_t>& sizes, std::size_t repetitions)
{
    std::vector<cost_row> rows;
    for (const std::size_t teams : sizes)
        for (cost_row& it : measure_size(teams, repetitions))
            rows.push_back(std::move(it));
    return rows;
}

} // namespace limpetlock::config
