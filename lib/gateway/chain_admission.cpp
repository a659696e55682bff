#include <limpetlock/gateway/chain_admission.hpp>

#include <algorithm>

namespace limpetlock::gateway {

namespace {

/// A chain is admitted if it is expected to end no later than this after its deadline. The time that the
/// running calls still take is an average over the endpoints of the pool, which is wrong by up to half a
/// call.
constexpr duration admission_margin{100};

/// Bounds of a chain from another instance.
constexpr std::size_t max_stages = 32;
constexpr std::uint32_t max_pieces = 100'000;

} // namespace

chain_estimate estimate_chain(const std::vector<chain_stage>& stages, const std::vector<stage_load>& loads)
{
    chain_estimate out;
    std::vector<duration> ends(stages.size(), duration{0});
    for (std::size_t n = 0; n < stages.size(); ++n) {
        duration ready{0};
        for (const auto it : stages[n].after)
            ready = std::max(ready, ends[it]);
        const duration start = std::max(ready, loads[n].before);
        ends[n] = start + loads[n].call_time;
        out.end = std::max(out.end, ends[n]);
        if (start - ready > out.wait) {
            out.wait = start - ready;
            out.bottleneck = n;
        }
    }
    return out;
}

chain_decision decide_admission(const chain_estimate& estimate, duration time_left)
{
    const duration excess = estimate.end - time_left;
    return excess <= admission_margin ? chain_decision{} : chain_decision{false, excess};
}

bool is_valid(const std::vector<chain_stage>& stages)
{
    if (stages.size() > max_stages)
        return false;
    for (std::size_t n = 0; n < stages.size(); ++n) {
        const auto& after = stages[n].after;
        if (stages[n].pieces > max_pieces || after.size() > max_stages ||
            std::any_of(after.begin(), after.end(), [n](std::uint32_t it) { return it >= n; }))
            return false;
    }
    return true;
}

} // namespace limpetlock::gateway
