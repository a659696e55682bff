#include "testkit/scenario.hpp"

#include "testkit/strict_json.hpp"

#include <limpetlock/support/hash.hpp>

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace limpetlock::testkit {

using nlohmann::json;
using generator = boost::random::mt19937;

namespace {

void check_teams(const team_weights& weights, const json& deployment)
{
    for (const auto& [team, weight] : weights)
        if (!deployment.at("teams").contains(team) || weight < 0)
            throw std::invalid_argument("unknown team or negative weight: " + team);
}

void check_class(const request_class& it, const json& deployment)
{
    check_teams(it.teams, deployment);
    const bool known = it.pipeline.empty()
                           ? deployment.at("services").at(it.service).at("calls").contains(it.call)
                           : deployment.at("pipelines").contains(it.pipeline);
    if (!known)
        throw std::invalid_argument("class " + it.name + " names an unknown pipeline or call");
}

const request_class& find_class(const scenario& from, const std::string& name)
{
    const auto it =
        std::find_if(from.classes.begin(), from.classes.end(), [&](const auto& c) { return c.name == name; });
    if (it == from.classes.end())
        throw std::invalid_argument("unknown class " + name);
    return *it;
}

/// Picks teams at random by their weights.
class team_picker {
public:
    explicit team_picker(const team_weights& weights)
    {
        std::vector<double> shares;
        for (const auto& [team, weight] : weights) {
            names_.push_back(team);
            shares.push_back(weight);
        }
        pick_ = boost::random::discrete_distribution<std::size_t>(shares);
    }

    const std::string& operator()(generator& random) { return names_[pick_(random)]; }

private:
    std::vector<std::string> names_;
    boost::random::discrete_distribution<std::size_t> pick_;
};

team_weights effective_team_weights(const scenario& from, const phase& in, const request_class& what,
                                    const json& deployment)
{
    for (const auto* it : {&what.teams, &in.teams, &from.teams})
        if (!it->empty())
            return *it;
    team_weights all;
    for (const auto& it : deployment.at("teams").items())
        all[it.key()] = 1;
    return all;
}

/// Fills in the rank and deadline that a class leaves to the deployment document. A repeatable call gets no
/// further attempts from the load tool.
request_class with_deployment_defaults(request_class it, const json& deployment)
{
    const bool pipeline = !it.pipeline.empty();
    const auto& from = pipeline ? deployment.at("pipelines").at(it.pipeline)
                                : deployment.at("services").at(it.service).at("calls").at(it.call);
    if (it.rank.empty())
        it.rank = from.at("rank");
    if (it.deadline_ms == 0)
        it.deadline_ms = from.at(pipeline ? "deadline_ms" : "timeout_ms");
    if (!pipeline && from.at("repeatable").get<bool>())
        it.attempts = 1;
    return it;
}

/// Arrival times of one class from the start of the phase, in milliseconds.
std::vector<double> arrival_offsets_ms(const phase& in, const request_class& what, double scale,
                                       generator& random)
{
    std::vector<double> out;
    const double length_ms = in.seconds * 1000;
    const auto rate = in.rates.find(what.name);
    if (rate != in.rates.end() && rate->second * scale > 0) {
        boost::random::exponential_distribution<double> gap(rate->second * scale / 1000);
        for (double at = gap(random); at < length_ms; at += gap(random))
            out.push_back(at);
    }
    for (const auto& it : in.bursts) {
        if (it.name != what.name)
            continue;
        boost::random::uniform_real_distribution<double> spread(0, it.spread_ms);
        for (double at = it.every_ms; at + it.spread_ms < length_ms; at += it.every_ms)
            for (int n = 0; n < static_cast<int>(it.size * scale); ++n)
                out.push_back(at + spread(random));
    }
    return out;
}

} // namespace

scenario parse_scenario(const json& from, const json& deployment)
{
    auto out = parse_strict<scenario>(from);
    for (const auto& it : from.at("classes"))
        parse_strict<request_class>(it);
    for (const auto& it : from.at("phases"))
        parse_strict<phase>(it);
    check_teams(out.teams, deployment);
    for (const auto& it : out.classes)
        check_class(it, deployment);
    for (const auto& it : out.phases) {
        check_teams(it.teams, deployment);
        for (const auto& [name, rate] : it.rates)
            find_class(out, name);
        for (const auto& each : it.bursts)
            find_class(out, each.name);
    }
    return out;
}

std::vector<arrival> make_arrivals(const scenario& from, const json& deployment, const std::string& run_id,
                                   double scale)
{
    std::vector<arrival> out;
    double start_ms = 0;
    for (const auto& in : from.phases) {
        for (const auto& each : from.classes) {
            // Each phase and class has a generator of its own, so that a change to one class leaves the
            // arrivals of the others as they are.
            generator random(static_cast<std::uint32_t>(hash64(in.name + "/" + each.name, from.seed)));
            const auto what = with_deployment_defaults(each, deployment);
            team_picker team(effective_team_weights(from, in, what, deployment));
            for (const auto at : arrival_offsets_ms(in, what, scale, random)) {
                const auto draw = [&](double share) {
                    return boost::random::bernoulli_distribution<double>(share)(random);
                };
                const bool streamed = draw(what.streamed);
                const bool asserted = draw(what.asserted);
                const bool new_key = draw(what.new_key);
                out.push_back({0, start_ms + at, in.name, in.flood, team(random), streamed, asserted, new_key,
                               "", what});
            }
        }
        start_ms += in.seconds * 1000;
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    for (std::size_t n = 0; n < out.size(); ++n) {
        out[n].number = static_cast<std::int64_t>(n);
        out[n].input_id = fmt::format("{}-{}", run_id, n);
    }
    return out;
}

std::string input_text(const arrival& it)
{
    std::string text = fmt::format("{} asks {}: ", it.team, it.what.name);
    const auto id = fmt::format(" #{}", it.input_id);
    const auto length = std::max(it.what.input_bytes, text.size() + id.size()) - id.size();
    while (text.size() < length)
        text += "ice and posture ";
    text.resize(length);
    return text + id;
}

json service_body(const arrival& it)
{
    return {{"booking", it.input_id}, {"team", it.team}, {"call", it.what.call}};
}

} // namespace limpetlock::testkit
