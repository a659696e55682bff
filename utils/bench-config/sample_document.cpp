#include "sample_document.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace limpetlock::config {

namespace {

using json = nlohmann::json;

constexpr std::size_t pipeline_count = 8;
constexpr std::size_t min_stages = 3;
constexpr std::size_t max_stages = 6;
constexpr std::size_t service_count = 4;
constexpr std::size_t call_count = 3;
constexpr std::array<const char*, 3> ranks{"urgent", "standard", "background"};

json stage(std::size_t n, std::size_t count)
{
    json it{{"name", fmt::format("stage-{}", n)},
            {"pool", fmt::format("pool-{}", n)},
            {"cost_ms", 10},
            {"timeout_ms", 500}};
    if (n + 1 < count)
        return it;
    it["model"] = "m1";
    it["streamed"] = true;
    return it;
}

json pipeline(std::size_t n)
{
    json it{{"rank", ranks[n % ranks.size()]}, {"deadline_ms", 3000}, {"stages", json::array()}};
    const std::size_t count = min_stages + n % (max_stages - min_stages + 1);
    for (std::size_t s = 0; s < count; ++s)
        it["stages"].push_back(stage(s, count));
    return it;
}

json service(std::size_t n)
{
    json it{{"pool", fmt::format("service-{}", n)}, {"calls", json::object()}};
    for (std::size_t c = 0; c < call_count; ++c)
        it["calls"][fmt::format("call-{}", c)] = {
            {"repeatable", c > 0}, {"rank", ranks[c % ranks.size()]}, {"timeout_ms", 1000}};
    return it;
}

} // namespace

std::string sample_team(std::size_t n)
{
    return fmt::format("plant-{:03}", n);
}

std::string sample_document(std::size_t teams)
{
    json it{{"teams", json::object()}, {"pipelines", json::object()}, {"services", json::object()}};
    for (std::size_t n = 0; n < teams; ++n)
        it["teams"][sample_team(n)] = {{"token", fmt::format("sample-token-of-32-characters{:03}", n)},
                                       {"weight", 1},
                                       {"class", "small"}};
    it["ranks"] = {{"urgent", {{"min_share", 0.5}}},
                   {"standard", {{"min_share", 0.2}}},
                   {"background", {{"min_share", 0.1}}}};
    for (std::size_t n = 0; n < pipeline_count; ++n)
        it["pipelines"][fmt::format("pipeline-{}", n)] = pipeline(n);
    for (std::size_t n = 0; n < service_count; ++n)
        it["services"][fmt::format("service-{}", n)] = service(n);
    it["claims"] = {{"owners", {"entry-a1", "entry-b1", "entry-c1"}}};
    return it.dump();
}

} // namespace limpetlock::config
