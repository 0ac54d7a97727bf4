#pragma once

#include "base/time.h"
#include "ranges/range_table.h"

#include <cstddef>
#include <vector>

namespace greengagechute::ranges {

/// Number of adjacent keys whose load is counted, and which are moved, as one bucket.
inline constexpr std::uint32_t keys_per_bucket = 4;
inline constexpr std::size_t bucket_count = (last_key + 1) / keys_per_bucket;

/// The keys of a bucket, by its first one.
constexpr key_range bucket_keys(key_position first) {
    return {first, first + keys_per_bucket - 1};
}

/// Covers a few hundred requests of one server and still follows the hot keys, which change within
/// seconds.
inline constexpr milliseconds default_load_decay{3'000};

/// A bucket of keys, by its first one, and its load in requests per second.
struct bucket_load {
    key_position first = 0;
    double per_s = 0;
};

/// Exponentially decaying request count for each bucket of keys, summed over all hosts.
class key_load {
public:
    key_load() : key_load(default_load_decay) {}
    /// @param decay_time  counts fall by the factor e in this time
    explicit key_load(milliseconds decay_time);

    /// Counts one request for `key`.
    void add(key_position key);
    /// Decays all counts for the time since the last call. The first call only sets the start.
    void decay(time_point now);
    /// Recent requests per second for all buckets that overlap `keys`. Idle buckets count as
    /// slightly above 0, so that idle keys are also spread over the servers.
    double request_rate(const key_range& keys) const;
    /// The bucket with the highest load of those that overlap `keys`.
    bucket_load hottest_bucket(const key_range& keys) const;
    /// `request_rate` of all keys.
    double total() const;

private:
    double decay_seconds;
    std::vector<float> buckets;
    time_point decayed_at;
    bool started = false;
};

}  // namespace greengagechute::ranges
