/// \file
/// Finds the parts of prompts under which engines crash, and tells which requests to hold back.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpetlock::gateway {

/// An engine that was lost when it began to answer a request, or before.
struct crash_sighting {
    std::string endpoint;
    std::int64_t started_ms{0}; ///< start of its process, as in endpoint::started_ms
    std::string reporter;       ///< instance that had sent the request
    time_point at{};
    /// No byte of the answer had arrived, so the request may have been one that only waited there.
    bool silent{false};

    friend bool operator==(const crash_sighting&, const crash_sighting&) = default;
};

/// What is known of a part of a prompt under which an engine was lost.
struct part_evidence {
    std::uint64_t part{0};
    std::vector<crash_sighting> crashes;  ///< ordered by endpoint and start
    std::optional<time_point> answered{}; ///< time of the last complete answer to a request with the part

    friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

/// Collects evidence of all instances on the parts of prompts.
///
/// Each crash counts against all shared parts of the request that the engine had begun to answer. A crash
/// before the first byte counts half, and only once it shows that the process of the engine has ended: the
/// requests that waited there were lost with it. Complete
/// answers clear the parts of their prompts. Parts that were present in the same crashes can't be told apart:
/// only requests that have all of them are held back, until a crash or an answer tells them apart. Of parts
/// that share some crashes, the one with the most explains those of the others.
class prompt_quarantine {
public:
    /// A part is quarantined after it crashed this many endpoints. An endpoint that is broken by itself
    /// crashes under any prompt, so the crashes of one say little.
    static constexpr std::size_t min_crashed_endpoints = 2;

    /// A part is also quarantined after this many crashes of one endpoint, if it was present in all that are
    /// known of that endpoint. Only a pool without another endpoint for the part gets that far.
    static constexpr std::size_t min_crashes_of_one_endpoint = 7;

    /// How long requests are held back after the last crash. The evidence is kept longer, so that a single
    /// further crash renews the quarantine.
    static constexpr duration quarantine_time{300'000};
    static constexpr duration evidence_lifetime{600'000};

    /// An answer clears its parts of later crashes for this long, and of all earlier ones.
    static constexpr duration answer_memory{30'000};

    // Bounds of what callers can make an instance remember.
    static constexpr std::size_t max_parts_per_request = 256;
    static constexpr std::size_t max_suspects = 1'024;
    static constexpr std::size_t max_crashes_per_part = 8;
    static constexpr std::size_t max_answered_parts = 4'096; ///< of each of two generations
    static constexpr std::size_t max_silent_losses = 512;

    /// A silent loss is no evidence if its engine hasn't shown within this time that its process ended.
    static constexpr duration silent_loss_memory{10'000};

    /// A quarantined part of a request.
    struct verdict {
        part_evidence evidence;
        duration time_left{0}; ///< until the end of the quarantine
    };

    /// Records the loss of an engine that had begun to answer a request with these shared parts.
    void record_crash(const std::vector<std::uint64_t>& parts, const crash_sighting& crash);

    /// Records that the connection of a request with these shared parts ended before any byte of an answer.
    /// It counts as a crash once end_of_process() or set_endpoints() show the end of the engine's process.
    void record_silent_loss(const std::vector<std::uint64_t>& parts, crash_sighting loss);

    /// Records that the process of an endpoint has ended, for instance because it refuses connections.
    void end_of_process(std::string_view endpoint, time_point now);

    /// Records the processes that are listed now: those that are missing have ended.
    void set_endpoints(const std::vector<endpoint>& list, time_point now);

    /// Records a complete answer to a request with these shared parts.
    void record_answer(const std::vector<std::uint64_t>& parts, time_point now);

    /// Returns the part for which a request with these shared parts is held back; nullopt if it may run.
    std::optional<verdict> find_quarantined(const std::vector<std::uint64_t>& parts, time_point now) const;

    /// Endpoints that crashed under one of these shared parts and whose crash no answer has cleared.
    std::vector<std::string> suspected_endpoints(const std::vector<std::uint64_t>& parts,
                                                 time_point now) const;

    /// The evidence that peers may lack: the quarantined parts, those with the most crashes, and what has
    /// changed lately. If there is more, successive calls return the others.
    std::vector<part_evidence> evidence_for_peers(time_point now, std::size_t max_parts);

    /// Merges evidence of a peer.
    void merge(const part_evidence& evidence, time_point now);

    /// Removes evidence at the end of its lifetime.
    void remove_expired(time_point now);

    /// Number of changes of the evidence.
    std::uint64_t version() const { return version_; }

    std::size_t suspect_count() const { return suspects_.size(); }

private:
    struct suspect {
        part_evidence evidence;
        time_point changed{};
        bool quarantine_logged{false};
    };

    void update(std::uint64_t part, const std::vector<crash_sighting>& crashes,
                std::optional<time_point> answered, time_point now);
    void make_room();
    void log_change(suspect& it, time_point now) const;
    template <typename Predicate>
    void confirm_losses(time_point now, Predicate ended);
    /// The open crashes of a part that convict it; empty if they don't.
    std::vector<crash_sighting> convicting_crashes(const part_evidence& it) const;
    bool is_quarantined(const part_evidence& it, time_point now) const;
    bool explains_crashes_of_one(const std::vector<crash_sighting>& crashes) const;
    bool blocks(const part_evidence& it, const std::vector<std::uint64_t>& parts, time_point now) const;
    std::optional<time_point> last_answer(std::uint64_t part) const;

    /// The loss of a connection, and the parts of its request.
    struct silent_loss {
        std::vector<std::uint64_t> parts;
        crash_sighting crash;
    };

    std::map<std::uint64_t, suspect> suspects_; ///< by part
    std::deque<silent_loss> silent_losses_;     ///< in the order of their times
    std::unordered_map<std::uint64_t, time_point> answers_;
    std::unordered_map<std::uint64_t, time_point> older_answers_;
    time_point generation_began_{};
    std::uint64_t version_{0};
    std::uint64_t last_told_{0}; ///< part of the last evidence that was returned for peers in turn
};

} // namespace limpetlock::gateway
