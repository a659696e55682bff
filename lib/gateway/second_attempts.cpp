#include <limpetlock/gateway/second_attempts.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>

namespace limpetlock::gateway {

namespace {

constexpr double max_share = 0.2;
constexpr std::int64_t max_min_delay_ms = 60'000;

/// Window of the share. At 3 requests a second, a share of 0.02 allows one second attempt in it.
constexpr duration share_window{20'000};

/// Weight of one time in the moving average of an endpoint, and its bounds: one outlier must not exclude an
/// endpoint for long.
constexpr double speed_weight = 0.25;
constexpr double min_factor = 0.1;
constexpr double max_factor = 20;

/// The speed of an endpoint is taken as usual when its last time is older than this.
constexpr duration speed_lifetime{20'000};

bool is_hedged_kind(const hedged_request& it, const second_attempt_settings& settings)
{
    return settings.share > 0 && (it.stream ? settings.streams : settings.reads);
}

} // namespace

std::string_view to_string(second_attempt_verdict it)
{
    static constexpr std::array<std::string_view, second_attempt_verdict_count> names{
        "send",           "not_repeatable",   "kind_off",         "too_few_samples",    "share_used_up",
        "budget_used_up", "attempts_used_up", "requests_waiting", "no_better_endpoint", "inputs_released",
        "suspected_part", "stopping"};
    return names[static_cast<std::size_t>(it)];
}

std::optional<second_attempt_settings> make_second_attempt_settings(double share, std::int64_t min_delay_ms,
                                                                    std::string_view kinds,
                                                                    std::string& reason)
{
    second_attempt_settings out;
    // Written so that a share that isn't a number is rejected too.
    if (!(share >= 0 && share <= max_share)) {
        reason = fmt::format("--second_attempt_share must be from 0 to {}, is {}", max_share, share);
        return std::nullopt;
    }
    if (min_delay_ms < 0 || min_delay_ms > max_min_delay_ms) {
        reason = fmt::format("--second_attempt_min_delay_ms must be from 0 to {}, is {}", max_min_delay_ms,
                             min_delay_ms);
        return std::nullopt;
    }
    out.share = share;
    out.min_delay = duration(min_delay_ms);
    out.reads = out.streams = false;
    for (std::size_t from = 0; from <= kinds.size();) {
        const auto comma = std::min(kinds.find(',', from), kinds.size());
        const std::string_view kind = kinds.substr(from, comma - from);
        from = comma + 1;
        if (kind != "read" && kind != "stream") {
            reason = fmt::format("--second_attempt_kinds is a list of read and stream, has '{}'", kind);
            return std::nullopt;
        }
        out.reads = out.reads || kind == "read";
        out.streams = out.streams || kind == "stream";
    }
    return out;
}

std::uint32_t size_class(std::uint64_t size)
{
    return (static_cast<std::uint32_t>(std::bit_width(size)) + 1) / 2;
}

second_attempt_verdict may_have_second_attempt(const hedged_request& it,
                                               const second_attempt_settings& settings)
{
    const bool may_run_twice = it.stream ? it.resumable : it.repeatable;
    if (!may_run_twice || it.answer_begun)
        return second_attempt_verdict::not_repeatable;
    if (!is_hedged_kind(it, settings))
        return second_attempt_verdict::kind_off;
    // The first attempt, which is open, counts as well.
    if (it.possible_executions + 2 > it.max_attempts)
        return second_attempt_verdict::attempts_used_up;
    return second_attempt_verdict::send;
}

void recent_times::record(duration took, bool answered, time_point now)
{
    while (!samples_.empty() && (samples_.size() >= max_samples || samples_.front().at <= now - window))
        samples_.pop_front();
    samples_.push_back({now, took, answered});
}

std::vector<recent_times::sample> recent_times::in_window(time_point now) const
{
    std::vector<sample> out;
    out.reserve(samples_.size());
    for (const auto& it : samples_)
        if (it.at > now - window)
            out.push_back(it);
    return out;
}

bool recent_times::empty(time_point now) const
{
    return samples_.empty() || samples_.back().at <= now - window;
}

std::optional<duration> recent_times::quantile(double share, time_point now) const
{
    auto all = in_window(now);
    if (all.size() < min_samples)
        return std::nullopt;
    const auto n = static_cast<std::size_t>(share * static_cast<double>(all.size()));
    const auto at = all.begin() + static_cast<std::ptrdiff_t>(std::min(n, all.size() - 1));
    std::nth_element(all.begin(), at, all.end(),
                     [](const sample& a, const sample& b) { return a.took < b.took; });
    return at->took;
}

duration recent_times::expected_rest(duration elapsed, time_point now) const
{
    duration sum{0};
    std::int64_t n = 0;
    for (const auto& it : in_window(now)) {
        if (it.took <= elapsed)
            continue;
        sum += it.answered ? it.took : 2 * it.took;
        ++n;
    }
    return n == 0 ? elapsed : sum / n - elapsed;
}

retry_share& second_attempts::share_of(const std::string& pool)
{
    retry_share_options options;
    options.ratio = settings_.share;
    options.window = share_window;
    options.safety_factor = 1; // Each instance keeps to the share by itself.
    return shares_.try_emplace(pool, options).first->second;
}

void second_attempts::record_first_request(const std::string& pool, time_point now)
{
    share_of(pool).record_first_attempt(now);
}

void second_attempts::record_time(const time_class& of, const std::string& endpoint, duration took,
                                  bool answered, time_point now)
{
    if (times_.size() >= max_classes && !times_.contains(of))
        std::erase_if(times_, [now](const auto& it) { return it.second.empty(now); });
    if (speeds_.size() >= max_endpoints && !speeds_.contains(endpoint))
        std::erase_if(speeds_, [now](const auto& it) { return it.second.at <= now - speed_lifetime; });
    if (times_.size() < max_classes || times_.contains(of))
        times_[of].record(took, answered, now);
    const auto median = times_.contains(of) ? times_.at(of).quantile(0.5, now) : std::nullopt;
    if (!median || (speeds_.size() >= max_endpoints && !speeds_.contains(endpoint)))
        return;
    const double ratio =
        static_cast<double>(took.count()) / static_cast<double>(std::max<std::int64_t>(1, median->count()));
    auto& speed = speeds_[endpoint];
    if (speed.at <= now - speed_lifetime)
        speed.factor = 1;
    speed.factor += speed_weight * (std::clamp(ratio, min_factor, max_factor) - speed.factor);
    speed.at = now;
}

std::optional<duration> second_attempts::delay(const time_class& of, time_point now) const
{
    const auto it = times_.find(of);
    if (it == times_.end())
        return std::nullopt;
    const auto usual = it->second.quantile(delay_quantile, now);
    if (!usual)
        return std::nullopt;
    return std::max(*usual, settings_.min_delay);
}

duration second_attempts::expected_time(const time_class& of, const std::string& endpoint,
                                        time_point now) const
{
    const auto times = times_.find(of);
    const auto median = times == times_.end() ? std::nullopt : times->second.quantile(0.5, now);
    if (!median)
        return duration::max();
    const auto speed = speeds_.find(endpoint);
    const double factor =
        speed == speeds_.end() || speed->second.at <= now - speed_lifetime ? 1 : speed->second.factor;
    return duration(static_cast<std::int64_t>(static_cast<double>(median->count()) * factor));
}

duration second_attempts::expected_rest(const time_class& of, duration elapsed, time_point now) const
{
    const auto it = times_.find(of);
    return it == times_.end() ? elapsed : it->second.expected_rest(elapsed, now);
}

second_attempt_verdict second_attempts::decide(const hedged_request& request, const time_class& of,
                                               const hedging_situation& now_known, time_point now) const
{
    const auto allowed = may_have_second_attempt(request, settings_);
    if (allowed != second_attempt_verdict::send)
        return allowed;
    if (now_known.stopping)
        return second_attempt_verdict::stopping;
    if (request.inputs_released)
        return second_attempt_verdict::inputs_released;
    if (now_known.suspected_part)
        return second_attempt_verdict::suspected_part;
    if (!delay(of, now))
        return second_attempt_verdict::too_few_samples;
    if (!now_known.other || now_known.other_backed_off)
        return second_attempt_verdict::no_better_endpoint;
    if (now_known.other_waiting || 2 * now_known.waiting_endpoints > now_known.reporting_endpoints)
        return second_attempt_verdict::requests_waiting;
    const duration useful = std::min(expected_rest(of, now_known.elapsed, now), now_known.time_left);
    if (expected_time(of, *now_known.other, now) >= useful)
        return second_attempt_verdict::no_better_endpoint;
    return second_attempt_verdict::send;
}

second_attempt_verdict second_attempts::acquire(const std::string& pool, retry_share& budget,
                                                std::size_t instances, time_point now)
{
    auto& share = share_of(pool);
    if (!share.can_retry(instances, now))
        return second_attempt_verdict::share_used_up;
    if (!budget.try_acquire_retry(instances, now))
        return second_attempt_verdict::budget_used_up;
    share.try_acquire_retry(instances, now);
    return second_attempt_verdict::send;
}

} // namespace limpetlock::gateway
