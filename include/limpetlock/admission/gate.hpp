/// \file
/// Bounds the work that this instance has released to each pool.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace limpetlock::admission {

/// The expected concurrency of one request in a pool: the part of its time that it spends there.
struct pool_share {
    std::string pool;
    double share{1};

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

using footprint = std::vector<pool_share>;

/// Says how much work the endpoints can take now from this instance. The capacity of a pool is the sum of the
/// concurrency limits of its routable endpoints (routing::endpoint_stats::limit).
class gate {
public:
    /// Sets the slots of a pool. Work that was released before stays, also above a lower capacity.
    void set_capacity(const std::string& pool, double slots);

    /// Whether every pool of the footprint has room. A pool that has no capacity yet has none; an idle pool
    /// with any capacity takes one request.
    bool has_room(const footprint& work) const;

    void enter(const footprint& work);
    void leave(const footprint& work);

    double capacity(const std::string& pool) const;
    double occupied(const std::string& pool) const;

private:
    struct usage {
        double capacity{0};
        double occupied{0};
    };

    std::map<std::string, usage> pools_;
};

} // namespace limpetlock::admission
