#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace greengagechute::placement {

/// A frequently used key and its estimated weight.
struct heavy_hitter {
    std::uint64_t key_hash = 0;
    /// Estimated decayed weight: never below the true weight, and at most `error` above it.
    double weight = 0;
    double error = 0;
};

/// Tracks the most frequent keys of a stream in bounded memory (Space-Saving algorithm). Weights
/// decay exponentially, so that keys which are no longer used are replaced.
class heavy_hitters {
public:
    /// @param capacity   number of keys that are tracked, at least 1. A key with more than
    ///                   1/capacity of the total weight is always among them.
    /// @param half_life  time in which a weight falls to half, at least 1 ms
    heavy_hitters(std::size_t capacity, milliseconds half_life);

    /// Adds `weight` to a key. A time before that of an earlier call is treated as the latest time.
    void record(std::uint64_t key_hash, double weight, time_point now);

    /// The heaviest `count` keys, heaviest first, with weights as of `now`.
    std::vector<heavy_hitter> top(std::size_t count, time_point now) const;

    /// Decayed weight of the whole stream as of `now`.
    double total(time_point now) const;

private:
    struct counter {
        std::uint64_t key_hash = 0;
        double weight = 0;
        double error = 0;
    };

    double scale_at(time_point now) const;
    void rescale(time_point now);
    void swap_counters(std::size_t first, std::size_t second);
    void sift_down(std::size_t position);
    void sift_up(std::size_t position);

    std::size_t capacity;
    double half_life_ms;
    /// Weights are stored relative to this time, so that decay needs no pass over all counters.
    time_point reference;
    bool started = false;
    double total_weight = 0;
    /// Binary heap, lightest first.
    std::vector<counter> counters;
    std::unordered_map<std::uint64_t, std::size_t> positions;
};

}  // namespace greengagechute::placement
