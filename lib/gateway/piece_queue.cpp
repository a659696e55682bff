#include <limpetlock/gateway/piece_queue.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace limpetlock::gateway {

namespace {

constexpr std::int64_t lowest_priority = 9;

/// Tokens per piece are clamped to these bounds; the default stands for an unknown number.
constexpr double min_tokens_per_piece = 64;
constexpr double default_tokens_per_piece = 1'024;
constexpr double max_tokens_per_piece = 16'384;

/// The offsets for priority and tokens per piece count this many times among late tasks.
constexpr std::int64_t late_offset_factor = 4;

} // namespace

/// A task and its waiting pieces.
struct piece_queue::waiting_task {
    const stage_task* task{nullptr};
    time_point queued_at{};
    std::size_t pieces{0};
    bool late{false};
    time_point order_key{};

    /// Whether some of its pieces were dispatched. Their results occupy storage until the others end.
    bool started() const { return pieces < task->pieces.size(); }
};

namespace {

using waiting_task = piece_queue::waiting_task;

bool is_late(const stage_task& it, const batch_options& options, time_point now)
{
    return it.objective_time < now + options.call_time(1);
}

/// Offset that puts late tasks behind all that can still meet their objective.
constexpr duration late_order_key_offset{24 * 3'600'000};

std::vector<waiting_task> group_by_task(const std::list<queued_piece>& waiting, const batch_options& options,
                                        time_point now)
{
    std::vector<waiting_task> out;
    std::unordered_map<const stage_task*, std::size_t> index;
    for (const auto& it : waiting) {
        if (!out.empty() && out.back().task == it.task.get()) {
            ++out.back().pieces;
            continue;
        }
        const auto [found, added] = index.try_emplace(it.task.get(), out.size());
        if (added)
            out.push_back({it.task.get(), it.queued_at, 0, is_late(*it.task, options, now),
                           order_key(*it.task, options, now)});
        ++out[found->second].pieces;
    }
    return out;
}

/// How long a task waits for an endpoint in its own failure domain.
duration locality_wait(const stage_task& it, time_point queued, const batch_options& options, bool late)
{
    constexpr double bytes_per_mb = 1e6;
    const double wait_ms =
        static_cast<double>(it.transfer_bytes) / bytes_per_mb * options.locality_wait_ms_per_mb;
    double out = std::min(wait_ms, static_cast<double>(options.max_locality_wait.count()));
    if (!late) {
        const duration slack = it.objective_time - options.call_time(it.pieces.size()) - queued;
        out = std::min(out, static_cast<double>(slack.count()) * options.locality_slack_share);
    }
    return duration(static_cast<std::int64_t>(std::max(0.0, out)));
}

/// Why a task can't be dispatched now, whatever places are left.
std::optional<pass_over_reason> obstacle(const waiting_task& it, const batch_options& options,
                                         const task_filter& deferred, time_point now)
{
    if (it.task->deadline < now + options.call_time(1))
        return pass_over_reason::deadline;
    if (!it.started() && deferred && deferred(*it.task))
        return pass_over_reason::deferred;
    return std::nullopt;
}

/// Whether more pieces could be dispatched than the threshold for filling.
bool exceeds_fill_threshold(const std::vector<waiting_task>& tasks, const batch_options& options,
                            const task_filter& deferred, time_point now)
{
    std::size_t pieces = 0;
    for (const auto& it : tasks) {
        if (pieces > options.fill_threshold)
            break;
        if (!obstacle(it, options, deferred, now))
            pieces += it.pieces;
    }
    return pieces > options.fill_threshold;
}

/// Chooses the tasks of one batch.
class batch_builder {
public:
    batch_builder(std::size_t max_pieces, std::uint64_t free_bytes)
        : max_pieces_(max_pieces), free_places_(max_pieces), free_bytes_(free_bytes)
    {
    }

    /// Takes a task if it fits. Only one that is larger than a whole batch is split.
    void choose(const waiting_task& it)
    {
        const std::size_t count = std::min(free_places_, it.pieces);
        if (free_places_ == 0 || (count < it.pieces && it.pieces <= max_pieces_))
            pass_over(it, pass_over_reason::size);
        else if (it.task->result_bytes * count > free_bytes_)
            pass_over(it, pass_over_reason::storage);
        else
            take(it, count);
    }

    void pass_over(const waiting_task& it, pass_over_reason reason) { passed_over_.emplace_back(it, reason); }

    /// Takes a part of the first task that is too large for the places left. In a call that its storage keeps
    /// from being full, the part would occupy storage without shortening the queue.
    void fill_last_places()
    {
        if (free_places_ == 0 || chosen_.empty())
            return;
        for (auto& [it, reason] : passed_over_) {
            if (reason != pass_over_reason::size || it.task->result_bytes * free_places_ > free_bytes_)
                continue;
            it.pieces -= free_places_;
            take(it, free_places_);
            return;
        }
    }

    std::size_t free_places() const { return free_places_; }

    /// Number of pieces of each chosen task.
    const std::map<const stage_task*, std::size_t>& chosen() const { return chosen_; }

    batch_vacancy vacancy() const
    {
        batch_vacancy out;
        out.places = free_places_;
        for (const auto& [it, reason] : passed_over_)
            out.pieces[static_cast<std::size_t>(reason)] += it.pieces;
        return out;
    }

private:
    void take(const waiting_task& it, std::size_t count)
    {
        chosen_.emplace(it.task, count);
        free_bytes_ -= it.task->result_bytes * count;
        free_places_ -= count;
    }

    const std::size_t max_pieces_;
    std::size_t free_places_;
    std::uint64_t free_bytes_;
    std::map<const stage_task*, std::size_t> chosen_;
    std::vector<std::pair<waiting_task, pass_over_reason>> passed_over_;
};

} // namespace

std::string_view to_string(pass_over_reason it)
{
    static constexpr std::array<std::string_view, pass_over_reason_count> names{"size", "storage", "locality",
                                                                                "deferred", "deadline"};
    return names[static_cast<std::size_t>(it)];
}

std::array<std::size_t, pass_over_reason_count + 1> batch_vacancy::places_by_reason() const
{
    std::array<std::size_t, pass_over_reason_count + 1> out{};
    std::size_t left = places;
    for (std::size_t n = 0; n < pass_over_reason_count; ++n) {
        out[n] = std::min(left, pieces[n]);
        left -= out[n];
    }
    out[pass_over_reason_count] = left;
    return out;
}

/// Late tasks go last: their results are of little use, and serving them first would make the others miss
/// their objective as well.
time_point order_key(const stage_task& it, const batch_options& options, time_point now)
{
    const bool late = is_late(it, options, now);
    const double tokens_per_piece =
        it.tokens_per_piece > 0 ? std::clamp(it.tokens_per_piece, min_tokens_per_piece, max_tokens_per_piece)
                                : default_tokens_per_piece;
    const duration offset =
        options.order_key_offset_per_priority * std::clamp<std::int64_t>(it.priority, 0, lowest_priority) +
        duration(static_cast<std::int64_t>(static_cast<double>(options.order_key_offset_per_halving.count()) *
                                           std::log2(max_tokens_per_piece / tokens_per_piece)));
    return late ? it.objective_time + offset * late_offset_factor + late_order_key_offset
                : it.objective_time + offset;
}

stage_task later_task(const stage_task& it, const chain_stage& later)
{
    const duration delay = it.chain.front().time_to_end - later.time_to_end;
    stage_task out;
    out.request_id = it.request_id;
    out.stage = later.stage;
    out.deadline = it.deadline + delay;
    out.objective_time = it.objective_time + delay;
    out.priority = it.priority;
    out.tokens_per_piece = it.tokens_per_piece;
    out.team = it.team;
    return out;
}

order_item make_order_item(const stage_task& it, std::size_t pieces, const batch_options& options,
                           time_point now)
{
    return {order_key(it, options, now), pieces, it.priority, is_late(it, options, now),
            options.team_turns ? it.team : std::string()};
}

team_order_options to_team_order_options(const batch_options& options)
{
    const auto places = static_cast<double>(options.max_pieces);
    const double full_call = std::max(1.0, options.call_ms + options.piece_ms * places);
    return {full_call / places, full_call, options.max_team_lead_ms};
}

std::vector<order_item> piece_queue::items(const batch_options& options, const task_filter& deferred,
                                           time_point now) const
{
    std::vector<order_item> out;
    for (const auto& it : group_by_task(waiting_, options, now))
        if (it.started() || !deferred || !deferred(*it.task))
            out.push_back({it.order_key, it.pieces, it.task->priority, it.late,
                           options.team_turns ? it.task->team : std::string()});
    return out;
}

void piece_queue::push(queued_piece it)
{
    waiting_.push_back(std::move(it));
}

/// Sorts the tasks for the next batch, and updates the shares of the teams.
void piece_queue::sort(std::vector<waiting_task>& tasks, const batch_options& options)
{
    const bool oldest_first = options.oldest_first_interval > 0 &&
                              batches_ % options.oldest_first_interval == options.oldest_first_interval - 1;
    const auto by_key = [oldest_first](const waiting_task& a, const waiting_task& b) {
        return oldest_first ? a.queued_at < b.queued_at : a.order_key < b.order_key;
    };
    if (!options.team_turns) {
        std::sort(tasks.begin(), tasks.end(), by_key);
        return;
    }
    std::vector<order_item> items;
    items.reserve(tasks.size());
    for (const auto& it : tasks)
        items.push_back({oldest_first ? it.queued_at : it.order_key, it.pieces, it.task->priority,
                         it.late && !oldest_first, it.task->team});
    shares_.set_waiting(items);
    if (!is_contested(items, options.max_pieces)) {
        std::sort(tasks.begin(), tasks.end(), by_key);
        return;
    }
    std::vector<waiting_task> sorted;
    sorted.reserve(tasks.size());
    for (const auto& it : team_order(items, shares_, to_team_order_options(options)))
        sorted.push_back(tasks[it.item]);
    tasks = std::move(sorted);
}

piece_batch piece_queue::pop_batch(const batch_options& options, std::string_view domain,
                                   const domain_free_times& free, std::uint64_t free_bytes,
                                   const task_filter& deferred, time_point now)
{
    auto tasks = group_by_task(waiting_, options, now);
    const bool fills =
        waiting_.size() > options.fill_threshold && exceeds_fill_threshold(tasks, options, deferred, now);
    sort(tasks, options);
    // The rest of a split task goes first, so that its early results occupy storage no longer than one call.
    if (fills)
        std::stable_partition(tasks.begin(), tasks.end(), [&](const waiting_task& it) {
            return it.started() && it.pieces < options.max_pieces;
        });
    std::map<std::string_view, std::size_t> pieces_ahead;
    const duration full_call = options.call_time(options.max_pieces);
    // Has to be called for each task in the order of `tasks`, because it counts the pieces ahead.
    const auto should_wait_for_local = [&](const waiting_task& it) {
        const std::size_t ahead =
            std::exchange(pieces_ahead[it.task->domain], pieces_ahead[it.task->domain] + it.pieces);
        const auto local = free.find(it.task->domain);
        if (it.task->domain == domain || local == free.end() || local->second.empty())
            return false;
        const std::size_t calls = ahead / options.max_pieces;
        const std::size_t endpoints = local->second.size();
        const duration start =
            local->second[calls % endpoints] + full_call * static_cast<std::int64_t>(calls / endpoints);
        return now + start < it.queued_at + locality_wait(*it.task, it.queued_at, options, it.late);
    };
    batch_builder batch(options.max_pieces, free_bytes);
    std::vector<waiting_task> waiting_for_local;
    for (const auto& it : tasks) {
        if (batch.free_places() == 0)
            break;
        const bool local_soon = should_wait_for_local(it);
        if (const auto reason = obstacle(it, options, deferred, now))
            batch.pass_over(it, *reason);
        else if (local_soon)
            waiting_for_local.push_back(it);
        else
            batch.choose(it);
    }
    // When the pool is overloaded, sharing the fixed time of a call among more pieces gains more than local
    // transfers.
    const bool take_others = !batch.chosen().empty() && waiting_.size() > options.overload_threshold;
    for (const auto& it : waiting_for_local)
        take_others ? batch.choose(it) : batch.pass_over(it, pass_over_reason::locality);
    if (fills)
        batch.fill_last_places();
    auto chosen = batch.chosen();
    piece_batch out;
    out.vacancy = batch.vacancy();
    for (auto it = waiting_.begin(); it != waiting_.end() && out.pieces.size() < options.max_pieces;) {
        const auto found = chosen.find(it->task.get());
        if (found == chosen.end() || found->second == 0) {
            ++it;
            continue;
        }
        --found->second;
        out.pieces.push_back(std::move(*it));
        it = waiting_.erase(it);
    }
    for (std::size_t n = 0; options.team_turns && n < out.pieces.size(); ++n) {
        const auto& it = out.pieces[n];
        shares_.charge(it.task->priority, it.task->team, 1, to_team_order_options(options));
    }
    if (!out.pieces.empty())
        ++batches_;
    return out;
}

std::vector<queued_piece> piece_queue::expire(const batch_options& options, time_point now)
{
    const duration min_call_time = options.call_time(1);
    std::vector<queued_piece> out;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->task->deadline >= now + min_call_time) {
            ++it;
            continue;
        }
        out.push_back(std::move(*it));
        it = waiting_.erase(it);
    }
    return out;
}

std::size_t piece_queue::count_with_objective_from(time_point objective, const task_filter& deferred) const
{
    std::size_t out = 0;
    // The pieces of a task are next to each other, but for those that were queued again.
    const stage_task* examined = nullptr;
    bool counts = false;
    for (const auto& it : waiting_) {
        if (std::exchange(examined, it.task.get()) != it.task.get())
            counts = it.task->objective_time >= objective && !(deferred && deferred(*it.task));
        out += counts ? 1 : 0;
    }
    return out;
}

void piece_queue::cancel(std::string_view request_id, std::uint32_t stage, std::uint32_t run)
{
    waiting_.remove_if([&](const queued_piece& it) {
        return it.task->request_id == request_id && it.task->stage == stage && it.task->run == run;
    });
}

} // namespace limpetlock::gateway
