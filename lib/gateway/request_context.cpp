#include "request_context.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace limpetlock::gateway {

std::string_view to_string(attempt_end it)
{
    static constexpr std::array<std::string_view, 7> names{
        "delivered", "not_sent", "not_run", "inputs_gone", "failed_answer", "broken", "timeout"};
    return names[static_cast<std::size_t>(it)];
}

attempt_result failed_attempt(const http::call_error& error)
{
    attempt_result out;
    out.reason = error.reason;
    if (!error.sent) {
        out.end = attempt_end::not_sent;
        out.outcome =
            error.code == http::errc::cancelled ? attempt_outcome::cancelled : attempt_outcome::unreachable;
        return out;
    }
    const bool timeout = error.code == http::errc::timeout;
    out.end = timeout ? attempt_end::timeout : attempt_end::broken;
    // An endpoint that closed an idle connection hasn't failed.
    out.outcome = error.stale ? attempt_outcome::cancelled : attempt_outcome::broken;
    return out;
}

std::uint64_t prompt_affinity(const caller_request& it)
{
    if (it.prompt.empty())
        return 0;
    const prompt_part* best = &it.prompt.front();
    for (std::size_t n = 1; n + 1 < it.prompt.size(); ++n)
        if (it.prompt[n].tokens > best->tokens)
            best = &it.prompt[n];
    return best->id;
}

double tokens_per_piece(const caller_request& it)
{
    constexpr double prompt_tokens_of_output = 10;
    const double tokens = it.prompt_tokens + prompt_tokens_of_output * it.output_tokens;
    const auto pieces = std::accumulate(it.stage_pieces.begin(), it.stage_pieces.end(), std::uint64_t{0});
    return tokens / static_cast<double>(std::max<std::uint64_t>(1, pieces));
}

std::vector<std::uint64_t> shared_parts(const caller_request& it)
{
    std::vector<std::uint64_t> out;
    for (std::size_t n = 0; n + 1 < it.prompt.size(); ++n)
        out.push_back(it.prompt[n].id);
    return out;
}

std::uint64_t prompt_session(const caller_request& it)
{
    return it.prompt.size() < 2 ? 0 : it.prompt[it.prompt.size() - 2].id;
}

} // namespace limpetlock::gateway
