/// \file
/// When an instance reads the routing table again to prove that it has the newest one.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <optional>

namespace limpetlock::gateway {

/// Schedules the reads that renew the proof of the table. All times are shares of the bound within which a
/// published table has to be in force, so that the table is in time although max_lost_reads reads in a row
/// get no answer.
class proof_schedule {
public:
    /// The number of lost answers in a row that don't delay a table beyond the bound.
    static constexpr std::size_t max_lost_reads = 2;

    /// `adoption_time` is the bound.
    explicit proof_schedule(duration adoption_time) : adoption_time_(adoption_time)
    {
        draw_renewal_age(1, true);
    }

    /// Sets the age at which the proof is renewed next. `position` (0 to 1) is drawn at random, so that
    /// instances don't read at the same time. An `eager` instance renews before the others, which then have
    /// the proof from it.
    void draw_renewal_age(double position, bool eager);

    /// Whether to send a read. `proof_age` is nullopt if the table was never proven. The first reads overlap,
    /// because an answer that is late may be lost; later ones follow one another.
    bool is_read_due(std::optional<duration> proof_age, time_point now);

    void begin_read(time_point now);
    /// Whether the read that began last repeats one without an answer.
    bool is_repeated() const { return reads_ > 1; }
    /// Records that the answer to a read has begun to arrive. A large table takes a small instance's link for
    /// a while, so the read is neither repeated nor given up then.
    void record_header() { ++arriving_; }
    /// Records the end of a read, whether it renewed the proof, and whether its answer had begun to arrive.
    void end_read(bool renewed, bool had_header);

    /// Whether a request should wait for the next read before it is decided by the table: the proof is older
    /// than it ever is while the store answers, and no read has failed since it was due.
    bool needs_confirmation(std::optional<duration> proof_age) const;

    /// A read without the header of its answer within this time has failed.
    duration header_timeout() const;
    /// A read without the whole answer within this time has failed.
    duration read_timeout() const { return adoption_time_; }

private:
    duration share(double of_bound) const;

    duration adoption_time_;
    duration renewal_age_{0};
    std::optional<time_point> last_read_; ///< time of the last read since the renewal became due
    std::size_t reads_{0};                ///< reads since the renewal became due
    std::size_t failures_{0};             ///< failed ones of them
    std::size_t pending_{0};              ///< reads without an outcome yet
    std::size_t arriving_{0};             ///< pending reads whose answer has begun to arrive
};

} // namespace limpetlock::gateway
