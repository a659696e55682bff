#include "metrics_page.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace limpetlock::server {

namespace {

using metrics::labels;

/// The counter of claims with one verdict.
struct claim_gauge {
    std::string_view verdict;
    std::uint64_t claims::table_counters::*member;
};

constexpr std::array claim_gauges{
    claim_gauge{"granted", &claims::table_counters::granted},
    claim_gauge{"answered", &claims::table_counters::answered},
    claim_gauge{"in_progress", &claims::table_counters::in_progress},
    claim_gauge{"unknown", &claims::table_counters::unknown},
    claim_gauge{"refused", &claims::table_counters::refused},
    claim_gauge{"key_reused", &claims::table_counters::key_reused},
};

/// Sets gauges in the registry and creates them on first use.
class gauge_writer {
public:
    explicit gauge_writer(metrics::registry& registry) : registry_(registry) {}

    template <typename Number>
    void set(std::string_view name, std::string_view help, Number value, const labels& label_set = {})
    {
        registry_.get_gauge(name, help, label_set).set(static_cast<std::int64_t>(value));
    }

private:
    metrics::registry& registry_;
};

void set_config(gauge_writer& out, const components& parts)
{
    const auto version = parts.in_force.load();
    out.set("limpetlock_config_number", "Number of the configuration in force.",
            version ? version->number : 0);
    out.set("limpetlock_config_diverged", "1 while a peer has other content under the same number.",
            parts.configuration.diverged() ? 1 : 0);
    for (std::size_t n = 0; n < config::verdict_count; ++n) {
        const auto verdict = static_cast<config::verdict>(n);
        out.set("limpetlock_config_entries",
                "Published entries and versions from peers, by what became of them.",
                parts.configuration.count(verdict), {{"result", std::string(config::to_string(verdict))}});
    }
    const auto counters = parts.configuration.counters();
    out.set("limpetlock_config_reads", "Calls to the configuration service.", counters.reads);
    out.set("limpetlock_config_read_failures", "Failed calls to the configuration service.",
            counters.read_failures);
    out.set("limpetlock_config_pulls", "Versions asked of peers.", counters.pulls);
}

void set_queues(gauge_writer& out, const components& parts)
{
    for (const auto& it : parts.admission.rows()) {
        out.set("limpetlock_queue_capacity", "Concurrent calls that the pool takes from this instance.",
                it.capacity, {{"pool", it.pool}});
        for (std::size_t n = 0; n < admission::rank_count; ++n) {
            const std::string rank(admission::to_string(static_cast<admission::rank>(n)));
            out.set("limpetlock_queue_waiting", "Requests that wait for a pool.", it.waiting_by_rank[n],
                    {{"pool", it.pool}, {"rank", rank}});
            out.set("limpetlock_queue_served_ms", "Endpoint milliseconds released to a pool.",
                    it.served_ms[n], {{"pool", it.pool}, {"rank", rank}});
        }
    }
}

void set_stages(gauge_writer& out, const components& parts)
{
    for (const auto& [stage, cost] : parts.costs.all())
        for (std::size_t n = 0; n < cost_kind_count; ++n) {
            const labels label_set{{"stage", stage},
                                   {"spent", std::string(to_string(static_cast<cost_kind>(n)))}};
            out.set("limpetlock_stage_ms", "Endpoint milliseconds of calls, by what became of them.",
                    cost.milliseconds[n], label_set);
            out.set("limpetlock_stage_calls", "Calls to endpoints, by what became of them.", cost.calls[n],
                    label_set);
        }
}

void set_claims(gauge_writer& out, const components& parts)
{
    const auto it = parts.claims.status();
    out.set("limpetlock_claim_lease_held", "1 while this instance holds the lease of its keys.",
            it.lease_held ? 1 : 0);
    out.set("limpetlock_claim_records", "Records in the claim table.", it.records);
    for (const auto& gauge : claim_gauges)
        out.set("limpetlock_claims", "Claims decided by this owner.", it.counters.*gauge.member,
                {{"verdict", std::string(gauge.verdict)}});
}

void set_members(gauge_writer& out, const components& parts)
{
    const auto counts = parts.membership.counts();
    out.set("limpetlock_list_version", "Version of the instance list.", parts.membership.list_version());
    out.set("limpetlock_endpoint_ejections", "Endpoints taken out after failures.", counts.ejections);
    out.set("limpetlock_timer_gaps", "Times that this process noticed that it was paused.",
            counts.timer_gaps);
    const auto peers = parts.peers.counters();
    out.set("limpetlock_peer_bytes_sent", "Bytes sent to other instances.", peers.bytes_sent);
    out.set("limpetlock_peer_bytes_received", "Bytes received from other instances.", peers.bytes_received);
    out.set("limpetlock_peer_malformed", "Malformed frames of other instances.", peers.malformed);
}

void set_answers(gauge_writer& out, const components& parts)
{
    const auto& it = parts.runner.counters();
    out.set("limpetlock_answers_wrong_call", "Answers that belonged to another call.", it.wrong_call.load());
    out.set("limpetlock_answers_malformed", "Answers that could not be read.", it.malformed.load());
    out.set("limpetlock_streams_resumed", "Streams resumed at another endpoint.", it.resumed_streams.load());
    out.set("limpetlock_requests_in_flight", "Requests in progress.", parts.in_flight.load());
}

} // namespace

std::string render_metrics(components& parts)
{
    gauge_writer out(parts.registry);
    set_config(out, parts);
    set_queues(out, parts);
    set_stages(out, parts);
    set_claims(out, parts);
    set_members(out, parts);
    set_answers(out, parts);
    return parts.registry.render();
}

} // namespace limpetlock::server
