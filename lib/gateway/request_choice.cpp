#include "request_context.hpp"
#include "request_handler.hpp"

#include <limpetlock/support/log.hpp>

#include <boost/asio/awaitable.hpp>
#include <fmt/format.h>

#include <string>
#include <utility>

namespace limpetlock::gateway {

using boost::asio::awaitable;

namespace {

/// One of this many choices has a log line.
constexpr std::uint64_t choices_per_line = 16;

std::string age_text(const routing::rated_candidate& it)
{
    return it.estimate.report_age ? fmt::to_string(it.estimate.report_age->count()) : "-";
}

} // namespace

request_profile request_handler::profile_of(const request_context& it)
{
    request_profile out;
    out.criteria = it.endpoint_criteria;
    if (!it.matched_route->stages.empty())
        out.results_domain = it.plan.domain;
    out.affinity_part = out.criteria.affinity_hash;
    out.prompt = it.request.prompt;
    out.prompt_tokens = it.request.prompt_tokens;
    return out;
}

awaitable<std::optional<endpoint>> request_handler::choose_endpoint(request_context& it, bool may_probe)
{
    const time_point now = boot_clock::now();
    if (!dependencies_.load_aware.is_enabled(it.pool, now))
        co_return dependencies_.selector.select(it.endpoint_criteria, now);
    const auto profile = profile_of(it);
    const auto drawn = dependencies_.load_aware.draw(profile, now);
    std::vector<endpoint> targets;
    const auto* const pool = it.table->find_pool(it.pool);
    if (may_probe && drawn.size() > 1 && pool != nullptr && !pool->health_path.empty())
        for (const auto& one : drawn)
            if (one.needs_probe)
                targets.push_back(one.to);
    probe_outcome probes;
    if (!targets.empty())
        probes = co_await dependencies_.prober.probe(std::move(targets), pool->health_path);
    auto choice = dependencies_.load_aware.pick(profile, drawn, boot_clock::now());
    if (!choice)
        co_return dependencies_.selector.select(it.endpoint_criteria, boot_clock::now());
    record_choice(it, *choice, probes);
    co_return std::move(choice->to);
}

void request_handler::record_choice(const request_context& it, const load_aware_choice& choice,
                                    const probe_outcome& probes)
{
    (choice.usual ? usual_choices_ : other_choices_).add();
    if (choice.winner.estimate.report_age)
        report_ages_.observe(static_cast<double>(choice.winner.estimate.report_age->count()));
    if (choices_++ % choices_per_line != 0)
        return;
    const auto ms = [](const routing::rated_candidate& one) {
        return fmt::format("{:.0f}", one.estimate.ms + one.cost_ms);
    };
    log::info("endpoint_choice", {{"request", it.request.id},
                                  {"pool", it.pool},
                                  {"endpoint", choice.to.id},
                                  {"usual", choice.usual ? "yes" : "no"},
                                  {"expected_ms", ms(choice.winner)},
                                  {"report_age_ms", age_text(choice.winner)},
                                  {"speed", fmt::format("{:.2f}", choice.winner.estimate.speed)},
                                  {"time_factor", fmt::format("{:.2f}", choice.winner.estimate.time_factor)},
                                  {"runner_up", choice.runner_up ? choice.runner_up->endpoint : "-"},
                                  {"runner_up_ms", choice.runner_up ? ms(*choice.runner_up) : "-"},
                                  {"runner_up_age_ms", choice.runner_up ? age_text(*choice.runner_up) : "-"},
                                  {"probes", fmt::to_string(probes.wanted)},
                                  {"answered", fmt::to_string(probes.answered)},
                                  {"waited_ms", fmt::to_string(probes.waited.count())}});
}

void request_handler::record_first_event(request_context& it)
{
    if (!it.estimated)
        return;
    // The time in which this process stood still isn't the endpoint's.
    if (dependencies_.peers.suspended_since(it.last_sent)) {
        it.estimated.reset();
        return;
    }
    if (const auto ratio = it.estimated->record_first_event(boot_clock::now()))
        estimate_ratios_.observe(*ratio);
}

} // namespace limpetlock::gateway
