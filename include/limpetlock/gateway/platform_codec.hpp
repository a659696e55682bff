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

enum class store_answer_status : std::uint8_t { ok, absent, history_lost, refused, malformed };

class platform_codec {
public:
    virtual ~platform_codec() = default;

    // Callers.

    /// nullopt with a reason when a header that the gateway needs is missing or malformed.
    virtual std::optional<caller_request> decode_request(const http::request& message,
                                                         std::string& reason) const = 0;

    /// The request as an endpoint gets it.
    virtual http::request encode_forwarded_request(const http::request& message,
                                                   const forwarding& extra) const = 0;

    /// Headers of an endpoint's answer that the caller gets.
    virtual http::header_list forwarded_answer_headers(const http::header_list& headers) const = 0;

    /// The answer without its stamp, for a status of the gateway's own.
    virtual answer_facts decode_answer_facts(int status, const http::header_list& headers) const = 0;

    /// Whether the answer echoes the id of the request.
    virtual bool echoes_request_id(const http::header_list& headers, std::string_view request_id) const = 0;

    virtual bool is_readiness_check(const http::request& message) const = 0;

    // Stages.

    virtual http::request encode_stage_call(const std::vector<stage_item>& items,
                                            const std::string& endpoint_id) const = 0;

    /// nullopt unless the answer holds exactly `expected` results.
    virtual std::optional<std::vector<piece_result>> decode_stage_answer(const std::string& body,
                                                                         std::size_t expected) const = 0;
    virtual http::request encode_release_call(const std::vector<std::string>& handles) const = 0;

    /// Address of the endpoint that holds a result.
    virtual std::optional<http::address> producer_of(const std::string& handle) const = 0;

    // Published state.

    virtual std::string table_key() const = 0;
    virtual std::string endpoint_prefix() const = 0;
    virtual http::request encode_key_read(const std::string& key) const = 0;
    virtual http::request encode_range_read(const std::string& prefix, const std::string& after) const = 0;
    virtual http::request encode_watch(const std::string& prefix, std::int64_t after,
                                       duration wait) const = 0;

    virtual store_answer_status decode_entry(const http::response& answer, state_page& out) const = 0;
    virtual store_answer_status decode_page(const http::response& answer, state_page& out) const = 0;
    virtual store_answer_status decode_events(const http::response& answer, state_page& out) const = 0;

    /// nullopt with a reason for a value that is no configuration.
    virtual std::optional<routing_table> decode_table(const std::string& value,
                                                      std::string& reason) const = 0;

    /// nullopt with a reason for an entry that names no endpoint to use.
    virtual std::optional<endpoint> decode_endpoint(const std::string& key, const std::string& value,
                                                    std::string& reason) const = 0;
};

} // namespace limpetlock::gateway
