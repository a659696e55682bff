/// \file
/// Returns results that are no longer needed to the instance that scheduled their stage.
#pragma once

#include "fleet.hpp"
#include "result_releaser.hpp"
#include "stage_scheduler.hpp"

#include <limpetlock/gateway/model.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// The instance that scheduled a stage tracks the storage for results at the endpoints, so a result is
/// released through that instance. Returns are gathered for a short time, so that one message covers several
/// results.
class result_returns {
public:
    result_returns(boost::asio::any_io_executor executor, fleet& peers, stage_scheduler& local,
                   result_releaser& releaser);

    /// Queues the results of one stage for the return to the instance that scheduled it.
    void return_results(result_group group);

private:
    boost::asio::awaitable<void> flush_later();
    boost::asio::awaitable<void> send(std::string instance_name, std::vector<std::string> handles);

    boost::asio::any_io_executor executor_;
    fleet& fleet_;
    stage_scheduler& scheduler_;
    result_releaser& releaser_;
    std::map<std::string, std::vector<std::string>> pending_;
    bool flushing_{false};
};

} // namespace limpetlock::gateway
