/// \file
/// Small stand-ins for the platform's servers: model engines, members of stage pools and plain services. Each
/// keeps a list of what it ran and misbehaves on request.
#pragma once

#include <limpetlock/http/server.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetlock::platformkit {

/// How the next requests of an endpoint end.
enum class behaviour : std::uint8_t {
    normal,
    refuse,            ///< states that it did not run the request
    fail,              ///< its own error
    cut_answer,        ///< closes in the middle of the answer
    hang,              ///< never answers
    wrong_id,          ///< answers with the id of another request
    without_signature, ///< answers without its signature
    wrong_endpoint     ///< another endpoint has the address
};

/// One request that an endpoint began to work on.
struct run_record {
    std::string request_id;
    std::string tenant;
    std::string target;
    std::string body;
    std::string inputs;
    std::string resume_after;
    std::string authorization;
    std::string priority;
    std::int64_t deadline_ms{0};
    bool finished{false}; ///< false while it runs, and when the caller closed it
};

struct endpoint_options {
    std::string id;
    std::string pool;
    std::string domain{"a"};
    std::uint32_t slots{8};
    std::chrono::milliseconds service_time{5};
    std::size_t events{0}; ///< events of a streamed answer; 0 for a plain one
    std::chrono::milliseconds event_gap{0};
    std::size_t event_bytes{55};
};

/// A model engine (with events) or a plain service.
class service_endpoint {
public:
    service_endpoint(boost::asio::any_io_executor executor, const std::string& address,
                     endpoint_options options);

    const endpoint_options& options() const { return options_; }
    std::uint16_t port() const { return server_->port(); }
    const std::string& address() const { return address_; }

    /// The next `count` requests end in this way; later ones are normal.
    void behave(behaviour how, std::size_t count)
    {
        behaviour_ = how;
        behaviours_left_ = count;
    }

    /// From now on every n-th request ends in one of the ways above, in turn.
    void fail_every(std::size_t n) { fail_every_ = n; }

    const std::vector<run_record>& runs() const { return runs_; }

    /// Requests that it works on now.
    std::size_t running_requests() const { return running_requests_; }

    /// The entry by which the endpoint is listed.
    std::string entry(const std::string& state = "ready") const;

private:
    boost::asio::awaitable<void> serve(http::exchange& io);
    behaviour next_behaviour();
    boost::asio::awaitable<void> answer_request(http::exchange& io, std::size_t run, behaviour how);
    boost::asio::awaitable<void> stream_events(http::exchange& io, std::size_t run, behaviour how,
                                               http::header_list headers);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds length);

    boost::asio::any_io_executor executor_;
    std::string address_;
    endpoint_options options_;
    behaviour behaviour_{behaviour::normal};
    std::size_t behaviours_left_{0};
    std::size_t fail_every_{0};
    std::size_t served_{0};
    std::size_t running_requests_{0};
    std::vector<run_record> runs_;
    std::unique_ptr<http::server> server_;
};

/// A call that a stage endpoint worked on.
struct stage_record {
    std::size_t pieces{0};
    std::set<std::string> request_ids;
    std::set<std::string> inputs;
};

/// A member of a stage pool: one call at a time, a fixed cost for each call.
class stage_endpoint {
public:
    stage_endpoint(boost::asio::any_io_executor executor, const std::string& address,
                   endpoint_options options, std::size_t max_batch_pieces, std::size_t result_capacity);

    std::uint16_t port() const { return server_->port(); }
    const endpoint_options& options() const { return options_; }
    void behave(behaviour how, std::size_t count)
    {
        behaviour_ = how;
        behaviours_left_ = count;
    }
    const std::vector<stage_record>& calls() const { return calls_; }

    /// Results that were neither released nor lost.
    std::size_t held_results() const { return held_results_.size(); }
    std::string entry(const std::string& state = "ready") const;

private:
    boost::asio::awaitable<void> serve(http::exchange& io);
    boost::asio::awaitable<void> run_call(http::exchange& io);
    http::response release(const std::string& body);

    boost::asio::any_io_executor executor_;
    std::string address_;
    endpoint_options options_;
    std::size_t max_batch_pieces_;
    std::size_t result_capacity_; ///< results
    behaviour behaviour_{behaviour::normal};
    std::size_t behaviours_left_{0};
    bool busy_{false};
    std::uint64_t handles_issued_{0};
    std::set<std::string> held_results_;
    std::vector<stage_record> calls_;
    std::unique_ptr<http::server> server_;
};

} // namespace limpetlock::platformkit
