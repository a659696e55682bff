/// \file
/// A platform_codec for tests of the published state: the value of a table is its version as text, the value
/// of an endpoint is its host.
#pragma once

#include <limpetlock/gateway/platform_codec.hpp>

#include <charconv>

namespace limpetlock::test {

class platform_codec_fake : public gateway::platform_codec {
public:
    std::optional<gateway::caller_request> decode_request(const http::request&, std::string&) const override
    {
        return std::nullopt;
    }
    http::request encode_forwarded_request(const http::request& message,
                                           const gateway::forwarding_metadata&) const override
    {
        return message;
    }
    http::header_list forwarded_answer_headers(const http::header_list& headers) const override
    {
        return headers;
    }
    gateway::answer_metadata decode_answer_metadata(int, const http::header_list&) const override
    {
        return {};
    }
    bool matches_request_id(const http::header_list&, std::string_view) const override { return true; }
    bool is_readiness_check(const http::request&) const override { return false; }
    http::request encode_stage_call(const std::vector<gateway::piece_request>&,
                                    const std::string&) const override
    {
        return {};
    }
    std::optional<std::vector<gateway::piece_result>> decode_stage_answer(const std::string&,
                                                                          std::size_t) const override
    {
        return std::nullopt;
    }
    http::request encode_release_call(const std::vector<std::string>&) const override { return {}; }
    std::optional<http::address> producer_of(const std::string&) const override { return std::nullopt; }
    std::string table_key() const override { return "table"; }
    std::string endpoint_prefix() const override { return "endpoint/"; }
    std::string evacuation_prefix() const override { return "evacuate/"; }
    std::optional<std::string> decode_evacuation(const std::string& key, std::string& reason) const override
    {
        std::string out = key.substr(evacuation_prefix().size());
        if (!out.empty())
            return out;
        reason = "no domain";
        return std::nullopt;
    }
    http::request encode_key_read(const std::string&) const override { return {}; }
    http::request encode_range_read(const std::string&, const std::string&) const override { return {}; }
    http::request encode_watch(const std::string&, std::int64_t, duration) const override { return {}; }
    gateway::store_answer_status decode_entry(const http::response&, gateway::state_page&) const override
    {
        return gateway::store_answer_status::ok;
    }
    gateway::store_answer_status decode_page(const http::response&, gateway::state_page&) const override
    {
        return gateway::store_answer_status::ok;
    }
    gateway::store_answer_status decode_events(const http::response&, gateway::state_page&) const override
    {
        return gateway::store_answer_status::ok;
    }

    /// Only tables have versions.
    std::optional<gateway::value_version> decode_value_version(const std::string& key,
                                                               const std::string& value) const override
    {
        std::string reason;
        const auto table = key == table_key() ? decode_table(value, reason) : std::nullopt;
        if (!table)
            return std::nullopt;
        return gateway::value_version{table->version, 0};
    }

    std::optional<gateway::routing_table> decode_table(const std::string& value,
                                                       std::string& reason) const override
    {
        gateway::routing_table out;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), out.version);
        if (ec == std::errc{})
            return out;
        reason = "not a number";
        return std::nullopt;
    }

    std::optional<gateway::endpoint> decode_endpoint(const std::string& key, const std::string& value,
                                                     std::string&) const override
    {
        gateway::endpoint out;
        out.id = key.substr(endpoint_prefix().size());
        out.pool = "pool";
        out.address = {value == "v" ? key : value, 80};
        return out;
    }
};

} // namespace limpetlock::test
