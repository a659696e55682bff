#include "request_filters.hpp"

#include <limpetlock/support/untrusted_json.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;
using nlohmann::json;

namespace {

constexpr std::string_view pipelines_prefix = "/v1/pipelines/";
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_length = 128;
constexpr std::size_t max_attempt_digits = 6;
constexpr std::int64_t default_max_tokens = 64;
constexpr std::int64_t max_max_tokens = 8192;

/// Time in ms from its arrival within which a service call must be sent to an endpoint. A claim may take as
/// long.
constexpr duration dispatch_timeout = claims::longest_deadline;

request_error refusal(errc code, std::string reason)
{
    return {code, std::move(reason), execution::no};
}

request_error bad_request(std::string reason)
{
    return refusal(errc::bad_request, std::move(reason));
}

/// Base of the filters that run before the key of a request is claimed. Their refusals account for earlier
/// attempts with the key.
class unclaimed_filter : public request_filter {
protected:
    explicit unclaimed_filter(const claim_controller& claims) : claims_(claims) {}

    awaitable<bool> reject(request_context& it, request_error error) const
    {
        const auto& headers = it.io.message().headers;
        const bool keyed = http::find_header(headers, "Idempotency-Key").has_value();
        const bool asserted = http::find_header(headers, "Idempotency-Attempt") == "1";
        const bool first = claims_.first_attempt_assertion_holds(asserted, it.arrival, boot_clock::now());
        request_error adjusted = account_for_earlier_attempts(std::move(error), keyed, first);
        co_await respond_with_error(it, std::move(adjusted));
        co_return false;
    }

private:
    const claim_controller& claims_;
};

class accept_filter : public unclaimed_filter {
public:
    accept_filter(std::function<bool()> accepts_work, const snapshot_cell<config::version>& in_force,
                  const claim_controller& claims)
        : unclaimed_filter(claims), accepts_work_(std::move(accepts_work)), in_force_(in_force)
    {
    }

    awaitable<bool> apply(request_context& it) override
    {
        std::optional<request_error> error;
        it.version = in_force_.load();
        if (!it.version)
            error = refusal(errc::not_run, "no configuration is in force yet");
        else if (!accepts_work_())
            error = refusal(errc::not_run, "the instance is stopping");
        if (error)
            co_return co_await reject(it, std::move(*error));
        co_return true;
    }

private:
    std::function<bool()> accepts_work_;
    const snapshot_cell<config::version>& in_force_;
};

class authenticate_filter : public unclaimed_filter {
public:
    explicit authenticate_filter(const claim_controller& claims) : unclaimed_filter(claims) {}

    awaitable<bool> apply(request_context& it) override
    {
        std::optional<request_error> error = find_team(it);
        if (error)
            co_return co_await reject(it, std::move(*error));
        co_return true;
    }

private:
    static std::optional<request_error> find_team(request_context& it)
    {
        const auto header = http::find_header(it.io.message().headers, "Authorization");
        if (!header || !header->starts_with(bearer_prefix))
            return refusal(errc::unauthorized, "a bearer token is required");
        const auto* team = it.version->document.find_team_by_token(header->substr(bearer_prefix.size()));
        if (team == nullptr)
            return refusal(errc::unauthorized, "no team has this token");
        it.team = *team;
        return std::nullopt;
    }
};

/// Reads typed members of a JSON object and keeps the first error.
class member_reader {
public:
    explicit member_reader(const json& object) : object_(object) {}

    std::string text(const char* name, bool required)
    {
        const auto it = find(name, required);
        if (it == object_.end())
            return {};
        if (!it->is_string()) {
            record_error(fmt::format("'{}' must be a string", name));
            return {};
        }
        return it->get<std::string>();
    }

    std::int64_t number(const char* name, std::int64_t default_value, std::int64_t lowest,
                        std::int64_t highest)
    {
        const auto it = find(name, false);
        if (it == object_.end())
            return default_value;
        if (!it->is_number_integer() || it->get<std::int64_t>() < lowest ||
            it->get<std::int64_t>() > highest) {
            record_error(fmt::format("'{}' must be an integer from {} to {}", name, lowest, highest));
            return default_value;
        }
        return it->get<std::int64_t>();
    }

    bool boolean(const char* name)
    {
        const auto it = find(name, false);
        if (it == object_.end())
            return false;
        if (!it->is_boolean()) {
            record_error(fmt::format("'{}' must be true or false", name));
            return false;
        }
        return it->get<bool>();
    }

    void record_error(std::string reason)
    {
        if (reason_.empty())
            reason_ = std::move(reason);
    }

    /// Records an error if the object has a member that was not read.
    void reject_unknown()
    {
        for (const auto& [name, value] : object_.items())
            if (std::find(known_.begin(), known_.end(), name) == known_.end())
                record_error(fmt::format("unknown member '{}'", name));
    }

    /// Returns the first error, or an empty string.
    const std::string& reason() const { return reason_; }

private:
    json::const_iterator find(const char* name, bool required)
    {
        known_.emplace_back(name);
        const auto it = object_.find(name);
        if (it == object_.end() && required)
            record_error(fmt::format("'{}' is required", name));
        return it;
    }

    const json& object_;
    std::vector<std::string> known_;
    std::string reason_;
};

bool is_valid_key(std::string_view key)
{
    return !key.empty() && key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

class resolve_filter : public unclaimed_filter {
public:
    explicit resolve_filter(const claim_controller& claims) : unclaimed_filter(claims) {}

    awaitable<bool> apply(request_context& it) override
    {
        const auto& message = it.io.message();
        const std::string_view target = message.target;
        std::optional<request_error> error;
        if (message.method != "POST")
            error = refusal(errc::not_found, "only POST is served here");
        else if (target.starts_with(pipelines_prefix))
            error = resolve_pipeline(it, target.substr(pipelines_prefix.size()));
        else if (target.starts_with(services_prefix))
            error = resolve_service(it, target.substr(services_prefix.size()));
        else
            error = refusal(errc::not_found, "no such path");
        if (error)
            co_return co_await reject(it, std::move(*error));
        co_return true;
    }

private:
    static std::optional<request_error> resolve_pipeline(request_context& it, std::string_view name)
    {
        const auto& pipelines = it.version->document.pipelines();
        const auto found = pipelines.find(name);
        if (found == pipelines.end())
            return refusal(errc::not_found, fmt::format("no pipeline '{}'", name));
        if (!found->second.allows(it.team))
            return refusal(errc::unauthorized, "the team may not use this pipeline");
        it.pipeline = &found->second;
        it.name = found->first;
        const auto body = parse_untrusted_json(it.io.message().body);
        if (!body.is_object())
            return bad_request("the body must be a JSON object");
        return read_pipeline_body(it, body);
    }

    static std::optional<request_error> read_pipeline_body(request_context& it, const json& body)
    {
        member_reader reader(body);
        const std::int64_t longest = it.pipeline->deadline.count();
        it.input = reader.text("input", true);
        it.max_tokens = reader.number("max_tokens", default_max_tokens, 1, max_max_tokens);
        it.stream = reader.boolean("stream");
        it.deadline = it.arrival + duration{reader.number("deadline_ms", longest, 1, longest)};
        const std::string rank_name = reader.text("rank", false);
        it.priority = it.pipeline->work_rank;
        if (!rank_name.empty()) {
            const auto rank = config::parse_rank(rank_name);
            if (rank)
                it.priority = *rank;
            else
                reader.record_error("'rank' must be urgent, standard or background");
        }
        reader.reject_unknown();
        if (!reader.reason().empty())
            return bad_request(reader.reason());
        return std::nullopt;
    }

    static std::optional<request_error> resolve_service(request_context& it, std::string_view path)
    {
        const auto slash = path.find('/');
        const auto service_name = path.substr(0, slash);
        const auto call_name = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
        const auto& services = it.version->document.services();
        const auto service = services.find(service_name);
        if (service == services.end())
            return refusal(errc::not_found, fmt::format("no service '{}'", service_name));
        const auto call = service->second.calls.find(call_name);
        if (call == service->second.calls.end())
            return request_error{errc::not_found,
                                 fmt::format("no call '{}' of service '{}'", call_name, service_name),
                                 execution::no};
        if (!service->second.allows(it.team))
            return refusal(errc::unauthorized, "the team may not use this service");
        it.service = &service->second;
        it.call = &call->second;
        it.call_name = call->first;
        it.name = fmt::format("{}/{}", service_name, call_name);
        it.priority = it.call->work_rank;
        it.deadline = it.arrival + dispatch_timeout;
        return read_service_message(it);
    }

    static std::optional<request_error> read_service_message(request_context& it)
    {
        const auto& message = it.io.message();
        const auto body = parse_untrusted_json(message.body);
        if (body.is_discarded())
            return bad_request("the body must be JSON, nested no deeper than 64 levels");
        it.body = body.dump();
        const auto attempt = http::find_header(message.headers, "Idempotency-Attempt");
        const bool digits = attempt && !attempt->empty() && attempt->size() <= max_attempt_digits &&
                            attempt->find_first_not_of("0123456789") == std::string_view::npos;
        if (attempt && !digits)
            return bad_request("Idempotency-Attempt must be a number");
        it.first_attempt_asserted = attempt == "1";
        const auto key = http::find_header(message.headers, "Idempotency-Key");
        if (!key && !it.call->repeatable)
            return bad_request("Idempotency-Key is required, since this call may not be repeated");
        if (key && !is_valid_key(*key))
            return bad_request("Idempotency-Key must have 1 to 128 visible ASCII characters");
        it.key = key.value_or("");
        return std::nullopt;
    }
};

} // namespace

std::unique_ptr<request_filter> make_accept_filter(std::function<bool()> accepts_work,
                                                   const snapshot_cell<config::version>& in_force,
                                                   const claim_controller& claims)
{
    return std::make_unique<accept_filter>(std::move(accepts_work), in_force, claims);
}

std::unique_ptr<request_filter> make_authenticate_filter(const claim_controller& claims)
{
    return std::make_unique<authenticate_filter>(claims);
}

std::unique_ptr<request_filter> make_resolve_filter(const claim_controller& claims)
{
    return std::make_unique<resolve_filter>(claims);
}

} // namespace limpetlock::server
