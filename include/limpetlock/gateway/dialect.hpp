/// \file
/// The interface to the platform's names, formats and calls. An implementation translates and decides
/// nothing.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

enum class store_answer : std::uint8_t { ok, absent, history_lost, refused, malformed };

class dialect {
public:
    virtual ~dialect() = default;

    // Callers.

    /// nullopt with a reason when a header that the gateway needs is missing or malformed.
    virtual std::optional<caller_request> read_request(const http::request& message,
                                                       std::string& reason) const = 0;

    /// The request as an endpoint gets it.
    virtual http::request forward(const http::request& message, const forwarding_metadata& extra) const = 0;

    /// Headers of an endpoint's answer that the caller gets.
    virtual http::header_list answer_headers(const http::header_list& headers) const = 0;

    /// The answer without its stamp, for a status of the gateway's own.
    virtual answer_metadata read_answer(int status, const http::header_list& headers) const = 0;

    /// Whether the answer echoes the id of the request.
    virtual bool answers(const http::header_list& headers, std::string_view request_id) const = 0;

    virtual bool is_readiness_check(const http::request& message) const = 0;

    // Stages.

    virtual http::request stage_call(const std::vector<piece_request>& items,
                                     const std::string& endpoint_id) const = 0;

    /// nullopt unless the answer holds exactly `expected` results.
    virtual std::optional<std::vector<piece_result>> read_stage_answer(const std::string& body,
                                                                       std::size_t expected) const = 0;
    virtual http::request release_call(const std::vector<std::string>& handles) const = 0;

    /// Address of the endpoint that holds a result.
    virtual std::optional<http::address> maker_of(const std::string& handle) const = 0;

    // Published state.

    virtual std::string table_key() const = 0;
    virtual std::string endpoint_prefix() const = 0;
    virtual http::request read_key(const std::string& key) const = 0;
    virtual http::request read_range(const std::string& prefix, const std::string& after) const = 0;
    virtual http::request watch(const std::string& prefix, std::int64_t after, duration wait) const = 0;

    virtual store_answer read_item(const http::response& answer, state_page& out) const = 0;
    virtual store_answer read_page(const http::response& answer, state_page& out) const = 0;
    virtual store_answer read_events(const http::response& answer, state_page& out) const = 0;

    /// nullopt with a reason for a value that is no configuration.
    virtual std::optional<routing_table> read_table(const std::string& value, std::string& reason) const = 0;

    /// nullopt with a reason for an entry that names no endpoint to use.
    virtual std::optional<endpoint> read_endpoint(const std::string& key, const std::string& value,
                                                  std::string& reason) const = 0;
};

} // namespace limpetlock::gateway
