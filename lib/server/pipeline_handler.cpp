#include "pipeline_handler.hpp"

#include <limpetlock/support/capture.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;
using nlohmann::json;

namespace {

/// Maximum size of the text of a generation that isn't streamed to the caller.
constexpr std::size_t max_collected_bytes = std::size_t{4} * 1024 * 1024;

std::string dump(const json& it)
{
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_event(std::string_view name, std::string_view data)
{
    return fmt::format("event: {}\ndata: {}\n\n", name, data);
}

// Arguments of co_await expressions are named locals throughout. GCC 12 destroys temporaries in such
// expressions twice or not at all, and fails to compile initializer lists in them.

std::string token_data(std::int64_t position, const std::string& text)
{
    return dump({{"index", position}, {"text", text}});
}

std::string done_data(const request_context& it)
{
    return dump({{"request_id", it.request_id}, {"tokens", it.tokens}});
}

http::response to_answer(const request_context& it, const std::string& value)
{
    return http::json_response(
        200, dump({{"request_id", it.request_id}, {"answer", value}, {"tokens", it.tokens}}));
}

http::header_list stream_headers()
{
    return {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
}

/// Writes a streamed answer to the caller. The HTTP response starts with the first token, so that an earlier
/// error can still be answered with its own HTTP status.
class answer_stream {
public:
    explicit answer_stream(request_context& it) : it_(it) {}

    /// Returns false if the caller is gone.
    awaitable<bool> write_token(std::int64_t position, const std::string& text)
    {
        if (!it_.time_to_first_token)
            it_.time_to_first_token = boot_clock::now() - it_.arrival;
        ++it_.tokens;
        if (!co_await start())
            co_return false;
        const std::string bytes = format_event("token", token_data(position, text));
        co_return co_await it_.io.write(bytes);
    }

    awaitable<void> write_done()
    {
        if (!co_await start())
            co_return;
        const std::string bytes = format_event("done", done_data(it_));
        if (co_await it_.io.write(bytes))
            co_await it_.io.finish();
    }

    awaitable<void> write_error(request_error error)
    {
        it_.error_code = error.code;
        const std::string bytes = format_event("error", to_json(error, it_.request_id));
        if (co_await it_.io.write(bytes))
            co_await it_.io.finish();
    }

    bool started() const { return started_; }

private:
    awaitable<bool> start()
    {
        if (started_)
            co_return true;
        started_ = true;
        http::header_list headers = stream_headers();
        co_return co_await it_.io.begin_stream(200, std::move(headers));
    }

    request_context& it_;
    bool started_{false};
};

class pipeline_handler : public request_filter {
public:
    pipeline_handler(admission_controller& admission, stage_runner& runner)
        : admission_(admission), runner_(runner)
    {
    }

    awaitable<bool> apply(request_context& it) override
    {
        if (it.pipeline == nullptr)
            co_return true;
        using namespace boost::asio::experimental::awaitable_operators;
        auto first = co_await (capture(serve(it)) || it.io.wait_closed());
        if (first.index() == 0)
            std::get<0>(first).take();
        co_return false;
    }

private:
    awaitable<void> serve(request_context& it)
    {
        const auto profile = admission_.profile(it.name);
        request_error error{errc::not_run, "the configuration is changing", execution::no};
        std::optional<admission_permit> permit;
        if (profile && profile->stages->size() == it.pipeline->stages.size())
            permit = co_await admission_.admit(profile, it.team, static_cast<admission::rank>(it.priority),
                                               it.deadline, error);
        if (!permit) {
            co_await respond_with_error(it, std::move(error));
            co_return;
        }
        co_await run_stages(it, *profile, *permit);
    }

    awaitable<void> run_stages(request_context& it, const request_profile& profile, admission_permit& permit)
    {
        answer_stream answer(it);
        std::string value = it.input;
        bool ran = false;
        for (std::size_t n = 0; n < it.pipeline->stages.size(); ++n) {
            const auto& stage = it.pipeline->stages[n];
            const bool last = n + 1 == it.pipeline->stages.size();
            const auto task =
                make_task(it, stage, (*profile.stages)[n], permit.engine_priority(), std::move(value));
            request_error error;
            const time_point started = boot_clock::now();
            answer_stream* const stream = last && it.stream ? &answer : nullptr;
            auto output = co_await run_stage(it, stage, task, stream, error);
            const auto took_ms = static_cast<double>((boot_clock::now() - started).count());
            permit.add_cost_ms(took_ms);
            if (!output) {
                error.ran = ran ? execution::unknown : error.ran;
                co_await answer_error(it, answer, std::move(error));
                co_return;
            }
            admission_.record_stage_time((*profile.stages)[n], took_ms);
            ran = true;
            value = std::move(*output);
        }
        co_await complete(it, answer, value);
    }

    stage_task make_task(const request_context& it, const config::stage& stage, admission::stage_id id,
                         int priority, std::string input) const
    {
        stage_task out;
        out.label = fmt::format("{}/{}", it.name, stage.name);
        out.call_base = fmt::format("{}-{}", it.request_id, stage.name);
        out.pool = stage.pool;
        out.stage = stage.name;
        out.model = stage.model;
        out.input = std::move(input);
        out.max_tokens = it.max_tokens;
        out.priority = priority;
        out.expected_ms = admission_.expected_ms(id);
        out.timeout = stage.timeout;
        out.deadline = it.deadline;
        return out;
    }

    /// Runs a stage and returns its output, or returns nullopt and sets `error`. The output of a generation
    /// is its text, or an empty string if `stream` isn't null and the text was written to it.
    awaitable<std::optional<std::string>> run_stage(request_context& it, const config::stage& stage,
                                                    const stage_task& task, answer_stream* stream,
                                                    request_error& error)
    {
        if (stage.model.empty())
            co_return co_await runner_.run_stage(task, error);
        std::string text;
        const token_sink sink = [&](std::int64_t position, const std::string& token) -> awaitable<bool> {
            if (stream != nullptr)
                co_return co_await stream->write_token(position, token);
            ++it.tokens;
            text += token;
            co_return text.size() <= max_collected_bytes;
        };
        if (!co_await runner_.generate(task, sink, error))
            co_return std::nullopt;
        co_return text;
    }

    static awaitable<void> complete(request_context& it, answer_stream& answer, const std::string& value)
    {
        if (it.stream && answer.started()) {
            co_await answer.write_done();
            co_return;
        }
        if (it.stream) {
            // The last stage wrote no tokens, so its output is streamed as a single token.
            if (co_await answer.write_token(0, value))
                co_await answer.write_done();
            co_return;
        }
        http::response answer_message = to_answer(it, value);
        co_await it.io.respond(std::move(answer_message));
    }

    static awaitable<void> answer_error(request_context& it, answer_stream& answer, request_error error)
    {
        if (answer.started())
            co_await answer.write_error(std::move(error));
        else
            co_await respond_with_error(it, std::move(error));
    }

    admission_controller& admission_;
    stage_runner& runner_;
};

} // namespace

std::unique_ptr<request_filter> make_pipeline_handler(admission_controller& admission, stage_runner& runner)
{
    return std::make_unique<pipeline_handler>(admission, runner);
}

} // namespace limpetlock::server
