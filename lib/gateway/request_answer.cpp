#include "request_context.hpp"
#include "request_handler.hpp"

#include <limpetlock/support/log.hpp>

#include <boost/asio/awaitable.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace limpetlock::gateway {

using boost::asio::awaitable;

namespace {

/// Bound of one answer that is read whole.
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;

/// Bound of the answers and parts of streams that are in memory, over all requests. Up to small_answer_bytes
/// are read in any case.
constexpr std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t small_answer_bytes = std::size_t{64} * 1024;

/// Time from its first event in which a stream counts as just begun. An engine that crashes on a prompt does
/// so by then, and few of the other streams that it cuts are as young.
constexpr duration stream_begin_time{250};

} // namespace

/// Whether the endpoint stated how its answer ends, so that a broken connection can't pass for its end.
bool has_framing(const http::answer_reader& from)
{
    return http::find_header(from.headers(), "Content-Length") ||
           http::find_header(from.headers(), "Transfer-Encoding");
}

/// Whether the endpoint stated that its answer is a stream of events; nullopt if it stated no type.
std::optional<bool> states_event_stream(const http::answer_reader& from)
{
    constexpr std::string_view stream_type = "text/event-stream";
    const auto type = http::find_header(from.headers(), "Content-Type");
    if (!type)
        return std::nullopt;
    return http::equals_ignoring_case(type->substr(0, stream_type.size()), stream_type);
}

/// Counts the bytes of one buffered answer among those of all requests.
class request_handler::buffer_share {
public:
    explicit buffer_share(std::size_t& total) : total_(total) {}
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;
    ~buffer_share() { total_ -= own_; }

    /// Sets the number of bytes that the answer has in memory.
    void set(std::size_t n)
    {
        total_ += n - own_;
        own_ = n;
    }

    bool exceeds_bounds() const
    {
        return own_ > max_answer_bytes || (own_ > small_answer_bytes && total_ > max_buffered_bytes);
    }

private:
    std::size_t& total_;
    std::size_t own_{0};
};

/// Reads the whole answer and relays it to the caller. With `keep_answer`, stores it in the result instead,
/// since another attempt may follow.
awaitable<attempt_result> request_handler::relay_whole(request_context& it, http::answer_reader& from,
                                                       bool keep_answer)
{
    attempt_result out;
    http::response whole{from.status(), dependencies_.codec.forwarded_answer_headers(from.headers()), {}};
    const auto share = std::make_shared<buffer_share>(buffered_bytes_);
    while (!share->exceeds_bounds()) {
        auto bytes = co_await from.read(it.deadline);
        if (!bytes)
            break;
        whole.body += *bytes;
        share->set(whole.body.size());
    }
    if (from.error().code != http::errc::none || share->exceeds_bounds()) {
        out = failed_attempt(from.error());
        if (share->exceeds_bounds())
            out.reason = fmt::format("answer not ended after {} bytes", whole.body.size());
        out.lost_at_begin = !keep_answer && from.error().code == http::errc::closed;
        out.end = from.error().code == http::errc::timeout ? attempt_end::timeout : attempt_end::broken;
        co_return out;
    }
    if (keep_answer) {
        out.end = attempt_end::failed_answer;
        out.outcome = from.status() >= 500 ? attempt_outcome::endpoint_error : attempt_outcome::answered;
        out.reason = fmt::format("status {}", from.status());
        out.answer = std::move(whole);
        out.answer_share = share;
        co_return out;
    }
    const int status = whole.status;
    it.first_byte = boot_clock::now();
    record_first_event(it);
    co_await it.io.respond(std::move(whole));
    it.status = status;
    out.end = attempt_end::delivered;
    out.outcome = attempt_outcome::answered;
    co_return out;
}

/// Relays the complete events of a stream to the caller. When the connection to the endpoint fails, the part
/// of an event that has arrived is discarded. `begun` are the bytes that were read before.
awaitable<attempt_result> request_handler::relay_stream(request_context& it, http::answer_reader& from,
                                                        std::string begun)
{
    attempt_result out;
    std::optional<time_point> first_event;
    bool endless = false;
    bool ok = true;
    const bool continues = it.streaming;
    const auto stated = states_event_stream(from);
    // Nothing of another answer, such as an error, may reach the middle of the caller's stream.
    const bool unusable = continues && (from.status() != it.status || stated == false);
    buffer_share share(buffered_bytes_);
    while (!unusable) {
        std::optional<std::string> bytes;
        if (begun.empty())
            bytes = co_await from.read(it.deadline);
        else
            bytes = std::exchange(begun, {});
        if (!bytes)
            break;
        const std::string events = it.framing.feed(*bytes);
        share.set(it.framing.buffered());
        endless = it.framing.buffered() > max_event_bytes || share.exceeds_bounds();
        if (endless || it.framing.repeats())
            break;
        if (events.empty())
            continue;
        if (!first_event) {
            first_event = boot_clock::now();
            record_first_event(it);
        }
        if (!it.streaming) {
            it.streaming = true;
            it.status = from.status();
            it.first_byte = boot_clock::now();
            ok = co_await it.io.begin_stream(from.status(),
                                             dependencies_.codec.forwarded_answer_headers(from.headers()));
        }
        if (ok)
            ok = co_await it.io.write(events);
        if (!ok) {
            out.end = attempt_end::delivered;
            out.reason = "caller gone";
            co_return out;
        }
    }
    // An answer without an event of its own continues a stream of which only the end was lost, if it can't be
    // anything else.
    const bool has_content =
        first_event || (continues && it.framing.buffered() == 0 && stated == true && has_framing(from));
    const bool whole = from.error().code == http::errc::none && !unusable && !endless &&
                       !it.framing.repeats() && it.framing.pending() == 0 && it.streaming && has_content;
    if (whole) {
        co_await it.io.write(it.framing.take_complete());
        co_await it.io.finish();
        out.end = attempt_end::delivered;
        out.outcome = attempt_outcome::answered;
        it.complete = true;
        co_return out;
    }
    out = failed_attempt(from.error());
    if (endless)
        out.reason = fmt::format("no event in {} bytes", it.framing.buffered());
    else if (unusable)
        out.reason = fmt::format("status {} can't continue a stream", from.status());
    else if (it.framing.repeats())
        out.reason = "events of the stream were repeated";
    out.any_event = first_event.has_value();
    // A stream without a length or chunks that ends inside an event has no error.
    const bool ended = from.error().code == http::errc::closed || from.error().code == http::errc::none;
    const bool just_begun = !first_event || boot_clock::now() - *first_event < stream_begin_time;
    out.lost_at_begin = ended && !endless && !unusable && !it.framing.repeats() && just_begun;
    it.framing.discard_pending();
    out.end = from.error().code == http::errc::timeout ? attempt_end::timeout : attempt_end::broken;
    co_return out;
}

awaitable<void> request_handler::answer_refusal(request_context& it)
{
    const nlohmann::json body{{"error", {{"status", it.refusal.status}, {"reason", it.refusal.reason}}}};
    http::response answer = http::json_response(
        it.refusal.status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (it.refusal.retry_after > duration{0})
        answer.headers.push_back(
            {"Retry-After",
             fmt::format("{:.2f}", static_cast<double>(it.refusal.retry_after.count()) / 1000)});
    if (refusing_new_work_)
        answer.headers.push_back({"Connection", "close"});
    it.status = it.refusal.status;
    co_await it.io.respond(std::move(answer));
}

void request_handler::log_end(const request_context& it)
{
    const time_point now = boot_clock::now();
    const auto since = [&it](time_point t) {
        return t == time_point{} ? std::string("-") : fmt::to_string((t - it.arrival).count());
    };
    log::info("request", {{"id", it.request.id},
                          {"route", it.matched_route == nullptr ? "-" : it.matched_route->name},
                          {"team", it.team.value_or("-")},
                          {"status", fmt::to_string(it.status)},
                          {"complete", it.complete || (it.status != 0 && !it.streaming) ? "yes" : "no"},
                          {"caller_gone", it.caller_gone ? "yes" : "no"},
                          {"reason", it.refusal.reason.empty() ? "-" : it.refusal.reason},
                          {"endpoint", it.endpoint_id.empty() ? "-" : it.endpoint_id},
                          {"sendings", fmt::to_string(it.attempts)},
                          {"stages_ms", since(it.stages_done)},
                          {"sent_ms", since(it.last_sent)},
                          {"first_ms", since(it.first_byte)},
                          {"took_ms", since(now)},
                          {"table", it.table ? fmt::to_string(it.table->version) : "-"},
                          {"proof_age_ms", it.proof_age ? fmt::to_string(it.proof_age->count()) : "-"}});
    count_end(it, now);
}

void request_handler::count_end(const request_context& it, time_point now)
{
    const std::string name = it.matched_route == nullptr ? "none" : it.matched_route->name;
    dependencies_.metrics
        .get_counter("limpetlock_requests_total", "requests by route and status",
                     {{"route", name}, {"status", fmt::to_string(it.status)}})
        .add();
    dependencies_.metrics
        .get_summary("limpetlock_request_ms", "time to the end of the answer", {{"route", name}})
        .observe(static_cast<double>((now - it.arrival).count()));
}

} // namespace limpetlock::gateway
