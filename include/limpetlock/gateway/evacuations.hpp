/// \file
/// The operators' orders to send nothing more to the endpoints of a failure domain.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// The order to evacuate a failure domain, as the store has it.
struct evacuation_order {
    std::string domain;
    state_revision revision; ///< of the store when the order was given

    friend auto operator<=>(const evacuation_order&, const evacuation_order&) = default; // NOLINT
};

/// What a change of the orders means.
struct evacuation_changes {
    std::vector<evacuation_order> begun;
    std::vector<evacuation_order> ended;

    bool empty() const { return begun.empty() && ended.empty(); }

    friend bool operator==(const evacuation_changes&, const evacuation_changes&) = default;
};

/// The orders in force. An order ends when its key is removed. If the store merely lost the key, because it
/// came back from an older copy, the order stays in force for lost_order_grace, in which the operators write
/// it again.
class evacuations {
public:
    /// Replaces the orders by those that the store has in this era.
    evacuation_changes set_orders(const std::vector<evacuation_order>& orders, std::int64_t era,
                                  time_point now);

    /// Ends the orders that the store lost and that were not given again in time.
    evacuation_changes remove_lapsed(time_point now);

    bool contains(std::string_view domain) const { return orders_.contains(domain); }
    std::size_t count() const { return orders_.size(); }

    /// Sets endpoint::evacuated of each endpoint of the list.
    void mark(std::vector<endpoint>& list) const;

    /// The time by which an unstable store may extend the bound of an order.
    static constexpr duration lost_order_grace{6'000};

private:
    struct order_state {
        state_revision revision;
        std::optional<time_point> missing_since; ///< when the store was found to lack it
    };

    std::map<std::string, order_state, std::less<>> orders_;
};

} // namespace limpetlock::gateway
