#include "testkit/endpoint.hpp"

#include "testkit/outputs.hpp"

#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace limpetlock::testkit {

namespace net = boost::asio;
using nlohmann::json;

namespace {
constexpr double forever_ms = 3'600'000; // sleeps of this length are repeated until a condition holds
constexpr std::size_t max_recorded_runs = 1'000'000;
constexpr std::int64_t load_history_ms = 60'000; // bounds load_lag_ms
constexpr auto other_input = "the input of another call";

std::int64_t now_ms()
{
    return to_ms(boot_clock::now());
}

std::string token_event(const std::string& id, const std::string& text, std::int64_t position,
                        const json& reason)
{
    const json choice = {{"index", 0}, {"text", text}, {"finish_reason", reason}};
    const json event = {{"id", id}, {"choices", json::array({choice})}, {"position", position}};
    return fmt::format("data: {}\n\n", event.dump());
}
} // namespace

endpoint::endpoint(net::io_context& context, host_state& host, std::string name, std::string pool,
                   std::uint16_t port, pool_settings settings)
    : host_(host), name_(std::move(name)), pool_(std::move(pool)), settings_(settings),
      listener_(context, port, [this](connection& it) { return handle(it); })
{
    sample_load();
}

void endpoint::set_fault(const json& change)
{
    activate_faults(apply_fault(faults_, change));
}

void endpoint::activate_faults(const fault_settings& faults)
{
    if (faults.leaving && !faults_.leaving)
        leaving_since_ms_ = now_ms();
    faults_ = faults;
    listener_.close_on_accept = faults.refuse;
    listener_.close_reused = faults.close_idle || faults.refuse;
    listener_.set_listening(!faults.down);
}

bool endpoint::draw_fault(double share)
{
    if (share <= 0 || boost::random::uniform_01<double>()(host_.random) >= share)
        return false;
    count_fault();
    return true;
}

void endpoint::count_fault()
{
    if (faults_.times > 0 && --faults_.times == 0)
        activate_faults({});
}

bool endpoint::cut_if_due(connection& it, std::int64_t tokens_sent)
{
    if (tokens_sent != faults_.cut_after)
        return false;
    ++counts_["cut"];
    count_fault();
    it.drop();
    return true;
}

double endpoint::service_time_factor() const
{
    return 1 + settings_.slope * static_cast<double>(running_ - 1);
}

double endpoint::service_time_ms()
{
    double ms = settings_.service_ms;
    if (settings_.sigma > 0)
        ms = boost::random::lognormal_distribution<double>(std::log(ms), settings_.sigma)(host_.random);
    return ms * faults_.slow * service_time_factor();
}

void endpoint::sample_load()
{
    samples_.push_back({now_ms(), running_, queue_.size()});
    while (samples_.size() > 1 && samples_[1].at_ms < now_ms() - load_history_ms)
        samples_.pop_front();
}

json endpoint::load() const
{
    const auto at = now_ms() - faults_.load_lag_ms;
    auto it = std::find_if(samples_.rbegin(), samples_.rend(), [&](const auto& s) { return s.at_ms <= at; });
    if (it == samples_.rend())
        --it;
    return {{"running", it->running}, {"queued", it->queued}, {"age_ms", faults_.load_lag_ms}};
}

net::awaitable<endpoint::admission> endpoint::acquire_slot(connection& it)
{
    if (running_ < settings_.concurrency) {
        ++running_;
        sample_load();
        co_return admission::granted;
    }
    if (queue_.size() >= settings_.queue)
        co_return admission::overloaded;
    queue_.push_back(&it);
    sample_load();
    const auto queued = [&] { return std::find(queue_.begin(), queue_.end(), &it); };
    while (queued() != queue_.end() && !it.closed())
        co_await it.sleep(forever_ms);
    if (queued() == queue_.end())
        co_return admission::granted; // release_slot() handed its slot to this call
    queue_.erase(queued());
    sample_load();
    co_return admission::caller_closed;
}

void endpoint::release_slot()
{
    if (queue_.empty()) {
        --running_;
    } else {
        auto* next = queue_.front();
        queue_.pop_front();
        next->wake();
    }
    sample_load();
}

void endpoint::record_run(run record, std::int64_t started_ms)
{
    record.duration_ms = static_cast<double>(now_ms() - started_ms);
    record.start_ms = started_ms;
    record.endpoint = name_;
    record.number = host_.next_run_number++;
    busy_ms_ += record.duration_ms;
    counts_["tokens"] += record.call == "completion" ? record.tokens : 0;
    ++counts_[record.done ? "runs" : "unfinished"];
    if (record.done && !record.key.empty())
        ++host_.completed_runs_by_key[record.key];
    host_.runs.push_back(std::move(record));
    if (host_.runs.size() > max_recorded_runs)
        host_.runs.pop_front();
}

json endpoint::totals() const
{
    json out = counts_;
    out["busy_ms"] = busy_ms_;
    out["running"] = running_;
    return out;
}

net::awaitable<void> endpoint::handle(connection& it)
{
    const auto path = it.path();
    json answer = {{"error", "not_found"}};
    int status = 404;
    if (it.method() == "POST" &&
        (path == "/v1/stage" || path == "/v1/completions" || path.starts_with("/v1/call/"))) {
        co_await handle_call(it);
        co_return;
    }
    if (path == "/v1/load") {
        ++counts_["load_reports"];
        answer = load();
        status = 200;
    } else if (path == "/control/runs") {
        answer = runs_page(host_, it.query("after", 0), name_);
        answer["totals"] = totals();
        status = 200;
    } else if (path == "/control/fault") {
        try {
            set_fault(parse_body(it));
            answer = json::object();
            status = 200;
        } catch (const std::exception& e) {
            answer = {{"error", e.what()}};
            status = 400;
        }
    }
    co_await it.respond(status, answer);
}

net::awaitable<void> endpoint::handle_call(connection& it)
{
    const auto body = parse_body(it);
    const auto path = it.path();
    const bool engine = path == "/v1/completions";
    run record;
    json refusal;
    int status = 503;
    ++counts_["calls"];
    if (faults_.leaving) {
        ++counts_["refused_leaving"];
        counts_["last_call_after_leaving_ms"] = now_ms() - leaving_since_ms_;
        refusal = {{"error", "leaving"}};
    } else if (draw_fault(faults_.fail)) {
        ++counts_["failed"];
        status = 500;
        refusal = {{"error", "failed"}};
    } else if (draw_fault(faults_.die_before)) {
        ++counts_["died_before"];
        it.drop();
        co_return;
    }
    try {
        record.call_id = body.at(engine ? "user" : "call_id").get<std::string>();
        const std::string service_prefix = "/v1/call/";
        record.call = engine                ? "completion"
                      : path == "/v1/stage" ? body.at("stage").get<std::string>()
                                            : path.substr(service_prefix.size());
        if (path == "/v1/stage" || engine)
            record.input = digest128(body.at(engine ? "prompt" : "input").get<std::string>());
        else
            record.input = body_digest(body.at("body"));
        if (body.contains("key") && body["key"].is_string())
            record.key = body["key"];
    } catch (const json::exception& e) {
        status = 400;
        refusal = {{"error", e.what()}};
    }
    if (!refusal.is_null()) {
        co_await it.respond(status, refusal);
        co_return;
    }
    if (engine)
        it.watch_for_close();
    const auto entered = co_await acquire_slot(it);
    if (entered == admission::overloaded) {
        ++counts_["refused_overloaded"];
        refusal = {{"error", "overloaded"}};
        co_await it.respond(503, refusal);
        co_return;
    }
    if (entered == admission::caller_closed) {
        ++counts_["cancelled"];
        co_return;
    }
    if (engine)
        co_await run_completion(it, std::move(record), body);
    else
        co_await run_call(it, std::move(record), body);
}

net::awaitable<void> endpoint::run_call(connection& it, run record, const json& body)
{
    const auto started_ms = now_ms();
    co_await it.sleep(service_time_ms());
    record.done = true;
    const auto id = record.call_id;
    const auto call = record.call;
    record_run(std::move(record), started_ms);
    release_slot();
    if (draw_fault(faults_.die_after)) {
        ++counts_["died_after"];
        it.drop();
        co_return;
    }
    const bool wrong = draw_fault(faults_.wrong_id);
    json answer = {{"call_id", wrong ? "other-" + id : id}};
    if (body.contains("stage"))
        answer["output"] = stage_output(call, wrong ? other_input : body["input"].get<std::string>());
    else
        answer["result"] = service_result(call, wrong ? json(other_input) : body["body"]);
    co_await it.respond(200, answer);
}

net::awaitable<void> endpoint::run_completion(connection& it, run record, const json& body)
{
    const auto started_ms = now_ms();
    record.first_token = body.value("resume_from", std::int64_t{0});
    record.tokens = 0;
    if (record.first_token > 0)
        ++counts_["resumed"];
    const bool whole = co_await generate(it, record, body);
    record.done = whole;
    if (!whole && it.closed_by_caller())
        ++counts_["cancelled"];
    record_run(std::move(record), started_ms);
    release_slot();
}

net::awaitable<bool> endpoint::generate(connection& it, run& record, const json& body)
{
    const std::string prompt = body["prompt"];
    const bool streamed = body.value("stream", false);
    const auto length = generation_length(prompt, body.value("max_tokens", std::int64_t{0}));
    const auto reason = length < natural_length(prompt) ? "length" : "stop";
    const bool silent = draw_fault(faults_.die_after);
    const bool wrong = draw_fault(faults_.wrong_id);
    const auto id = wrong ? "other-" + record.call_id : record.call_id;
    const std::string shown_prompt = wrong ? other_input : prompt;
    std::string text;
    co_await it.sleep(service_time_ms());
    if (!it.closed() && streamed && !silent && !co_await it.begin_stream())
        co_return false;
    auto position = std::min(record.first_token, length);
    for (; position < length && !it.closed(); ++position) {
        if (streamed && cut_if_due(it, position - record.first_token))
            co_return false;
        co_await it.sleep(settings_.token_ms * faults_.slow * service_time_factor());
        if (streamed && position - record.first_token == faults_.stall_after) {
            ++counts_["stalled"];
            count_fault();
            while (!it.closed())
                co_await it.sleep(forever_ms);
        }
        if (it.closed())
            break;
        ++record.tokens;
        const auto token = token_text(shown_prompt, position);
        text += token;
        if (!streamed || silent)
            continue;
        const json finish = position + 1 == length ? json(reason) : json(nullptr);
        auto event = token_event(id, token, position, finish);
        if (!co_await it.write(std::move(event)))
            co_return false;
    }
    if (it.closed() || (streamed && cut_if_due(it, position - record.first_token)))
        co_return false;
    if (silent) {
        ++counts_["died_after"];
        it.drop();
        co_return true;
    }
    if (!streamed) {
        const json choice = {{"index", 0}, {"text", text}, {"finish_reason", reason}};
        const json answer = {{"id", id}, {"choices", json::array({choice})}, {"position", length - 1}};
        co_await it.respond(200, answer);
        co_return true;
    }
    std::string last = record.first_token >= length ? token_event(id, "", length, reason) : "";
    last += "data: [DONE]\n\n";
    if (!co_await it.write(std::move(last)))
        co_return true;
    co_await it.finish();
    co_return true;
}

} // namespace limpetlock::testkit
