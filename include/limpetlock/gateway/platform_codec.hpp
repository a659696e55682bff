/// \file
/// The interface that encodes and decodes the platform's messages.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

enum class store_answer_status : std::uint8_t {
    ok,
    absent,       ///< the key doesn't exist
    history_lost, ///< the store no longer has the changes after the given revision
    refused,      ///< any other failure that the store reports
    malformed     ///< the answer can't be decoded
};

/// Translates between the platform's names, formats and calls and the gateway's types. An implementation
/// makes no decisions and no calls: the members that make a request only build its message.
class platform_codec {
public:
    virtual ~platform_codec() = default;

    // Callers.

    /// Decodes the headers of a caller's request. Returns nullopt and sets `reason` when a header that the
    /// gateway needs is missing or malformed.
    virtual std::optional<caller_request> decode_request(const http::request& message,
                                                         std::string& reason) const = 0;

    /// The request as the gateway sends it to an endpoint.
    virtual http::request encode_forwarded_request(const http::request& message,
                                                   const forwarding_metadata& extra) const = 0;

    /// The headers of an endpoint's answer that are passed on to the caller.
    virtual http::header_list forwarded_answer_headers(const http::header_list& headers) const = 0;

    /// Decodes the status and the headers of an endpoint's answer.
    virtual answer_metadata decode_answer_metadata(int status, const http::header_list& headers) const = 0;

    /// Whether an answer can belong to the request with this id: its headers have no request id or the same
    /// one.
    virtual bool matches_request_id(const http::header_list& headers, std::string_view request_id) const = 0;

    virtual bool is_readiness_check(const http::request& message) const = 0;

    // Stages.

    /// A call with a batch of pieces to the endpoint with this id.
    virtual http::request encode_stage_call(const std::vector<piece_request>& pieces,
                                            const std::string& endpoint_id) const = 0;

    /// Decodes the results of a stage call in the order of its pieces. Returns nullopt unless there are
    /// exactly `expected` of them.
    virtual std::optional<std::vector<piece_result>> decode_stage_answer(const std::string& body,
                                                                         std::size_t expected) const = 0;

    /// A call that requests that a producer drop these results.
    virtual http::request encode_release_call(const std::vector<std::string>& handles) const = 0;

    /// Address of the endpoint that stores a result; nullopt for a malformed handle.
    virtual std::optional<http::address> producer_of(const std::string& handle) const = 0;

    // Published state.

    /// Key of the routing table.
    virtual std::string table_key() const = 0;

    /// Prefix of the keys of all endpoint entries.
    virtual std::string endpoint_prefix() const = 0;

    /// Prefix of the keys of the orders to evacuate a failure domain.
    virtual std::string evacuation_prefix() const = 0;

    /// The failure domain of an order. Returns nullopt and sets `reason` for a key that names none.
    virtual std::optional<std::string> decode_evacuation(const std::string& key,
                                                         std::string& reason) const = 0;

    virtual http::request encode_key_read(const std::string& key) const = 0;

    /// A read of a page of the keys with this prefix, beginning behind the key `after`; an empty one starts
    /// the listing.
    virtual http::request encode_range_read(const std::string& prefix, const std::string& after) const = 0;

    /// A call that returns the changes after a revision and waits up to `wait` for the first one.
    virtual http::request encode_watch(const std::string& prefix, std::int64_t after,
                                       duration wait) const = 0;

    /// Decode the store's answers to a key read, a range read and a watch. `out` is valid only for status ok.
    virtual store_answer_status decode_entry(const http::response& answer, state_page& out) const = 0;
    virtual store_answer_status decode_page(const http::response& answer, state_page& out) const = 0;
    virtual store_answer_status decode_events(const http::response& answer, state_page& out) const = 0;

    /// Decodes the version of a value; nullopt if it states none.
    virtual std::optional<value_version> decode_value_version(const std::string& key,
                                                              const std::string& value) const = 0;

    /// Returns nullopt and sets `reason` for a value that is not a routing table.
    virtual std::optional<routing_table> decode_table(const std::string& value,
                                                      std::string& reason) const = 0;

    /// Returns nullopt and sets `reason` for an entry that doesn't describe a usable endpoint.
    virtual std::optional<endpoint> decode_endpoint(const std::string& key, const std::string& value,
                                                    std::string& reason) const = 0;
};

} // namespace limpetlock::gateway
