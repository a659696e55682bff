/// \file
/// A dialect for tests of the published state: a table is its version as text, an endpoint is its address.
#pragma once

#include <limpetlock/gateway/dialect.hpp>

#include <charconv>

namespace limpetlock::test {

class names_fake : public gateway::dialect {
public:
    std::optional<gateway::caller_request> read_request(const http::request&, std::string&) const override
    {
        return std::nullopt;
    }
    http::request forward(const http::request& message, const gateway::forwarding_metadata&) const override
    {
        return message;
    }
    http::header_list answer_headers(const http::header_list& headers) const override { return headers; }
    gateway::answer_metadata read_answer(int, const http::header_list&) const override { return {}; }
    bool answers(const http::header_list&, std::string_view) const override { return true; }
    bool is_readiness_check(const http::request&) const override { return false; }
    http::request stage_call(const std::vector<gateway::piece_request>&, const std::string&) const override
    {
        return {};
    }
    std::optional<std::vector<gateway::piece_result>> read_stage_answer(const std::string&,
                                                                        std::size_t) const override
    {
        return std::nullopt;
    }
    http::request release_call(const std::vector<std::string>&) const override { return {}; }
    std::optional<http::address> maker_of(const std::string&) const override { return std::nullopt; }
    std::string table_key() const override { return "table"; }
    std::string endpoint_prefix() const override { return "endpoint/"; }
    http::request read_key(const std::string&) const override { return {}; }
    http::request read_range(const std::string&, const std::string&) const override { return {}; }
    http::request watch(const std::string&, std::int64_t, duration) const override { return {}; }
    gateway::store_answer read_item(const http::response&, gateway::state_page&) const override
    {
        return gateway::store_answer::ok;
    }
    gateway::store_answer read_page(const http::response&, gateway::state_page&) const override
    {
        return gateway::store_answer::ok;
    }
    gateway::store_answer read_events(const http::response&, gateway::state_page&) const override
    {
        return gateway::store_answer::ok;
    }

    std::optional<gateway::routing_table> read_table(const std::string& value,
                                                     std::string& reason) const override
    {
        gateway::routing_table out;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), out.version);
        if (ec == std::errc{})
            return out;
        reason = "not a number";
        return std::nullopt;
    }

    std::optional<gateway::endpoint> read_endpoint(const std::string& key, const std::string& value,
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
