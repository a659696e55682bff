#include "load_prober.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/scope_exit.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

/// A request that waits for probes.
struct load_prober::decision {
    explicit decision(const asio::any_io_executor& executor) : timer(executor, decision_wait) {}

    asio::steady_timer timer;
    std::size_t open{0};     ///< probes that haven't ended
    std::size_t answered{0}; ///< probes that gave a report
};

load_prober::load_prober(asio::any_io_executor executor, http::client& client, const platform_codec& codec,
                         endpoint_statements& statements, load_aware_selector& selector,
                         metrics::registry& metrics)
    : executor_(std::move(executor)), client_(client), codec_(codec), statements_(statements),
      selector_(selector), metrics_(metrics),
      refused_reports_(
          metrics.get_counter("limpetlock_load_reports_refused_total",
                              "answers whose load report was ignored because its figures can't be right"))
{
}

void load_prober::count(std::string_view outcome)
{
    metrics_
        .get_counter("limpetlock_load_probes_total", "probes of the load of endpoints",
                     {{"outcome", std::string(outcome)}})
        .add();
}

void load_prober::record_load(const endpoint& from, const answer_metadata& answer, time_point as_of)
{
    if (answer.malformed_load)
        refused_reports_.add();
    if (answer.load)
        selector_.record_load(from, *answer.load, as_of);
}

awaitable<probe_outcome> load_prober::probe(std::vector<endpoint> targets, std::string path)
{
    const time_point begin = boot_clock::now();
    probe_outcome out{targets.size(), 0, duration{0}};
    const auto waiting = std::make_shared<decision>(executor_);
    for (const auto& it : targets)
        start(it, path, waiting);
    if (waiting->open > 0)
        co_await waiting->timer.async_wait(as_tuple_awaitable);
    out.answered = waiting->answered;
    out.waited = boot_clock::now() - begin;
    co_return out;
}

void load_prober::start(const endpoint& to, const std::string& path, const std::shared_ptr<decision>& waiting)
{
    const auto [entry, is_new] = open_.try_emplace(to.id);
    if (is_new && open_.size() > max_probes) {
        open_.erase(entry);
        count("suppressed");
        return;
    }
    entry->second.push_back(waiting);
    ++waiting->open;
    if (!is_new)
        return;
    count("sent");
    spawn_background(executor_, "load_probe", run(to, path));
}

/// The status says nothing: an endpoint may fail its requests and still answer its health path, and the other
/// way round. An answer without the endpoint's id may be of another process that has its address now.
std::string_view load_prober::record_answer(const endpoint& from, const http::response& answer,
                                            time_point sent)
{
    auto metadata = codec_.decode_answer_metadata(answer.status, answer.headers);
    if (metadata.endpoint_id != from.id)
        return "mismatched";
    metadata.retry_after.reset();
    metadata.malformed_retry_after = false;
    // Not `genuine`: a health answer without a limit doesn't end one.
    statements_.record_answer(from, metadata, false, sent, boot_clock::now());
    record_load(from, metadata, sent);
    if (!metadata.load)
        return "without_load";
    return boot_clock::now() - sent > decision_wait ? "late" : "in_time";
}

awaitable<void> load_prober::run(endpoint to, std::string path)
{
    bool answered = false;
    const scope_exit end([this, &to, &answered] {
        auto entry = open_.extract(to.id);
        for (const auto& it : entry.mapped())
            if (const auto waiting = it.lock()) {
                waiting->answered += answered ? 1 : 0;
                if (--waiting->open == 0)
                    waiting->timer.cancel();
            }
    });
    const time_point sent = boot_clock::now();
    http::call_error error;
    http::request message{"GET", std::move(path), {}, {}};
    const auto answer = co_await client_.call(to.address, std::move(message), sent + probe_timeout,
                                              http::connection_policy::pooled, error);
    const std::string_view outcome = answer ? record_answer(to, *answer, sent) : "failed";
    answered = outcome == "in_time";
    selector_.record_probe(to.id, answered, boot_clock::now());
    count(outcome);
}

} // namespace limpetlock::gateway
