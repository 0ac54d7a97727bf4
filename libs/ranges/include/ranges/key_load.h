#pragma once

#include "base/time.h"
#include "ranges/range_table.h"

#include <cstddef>
#include <vector>

namespace greengagechute::ranges {

/// Number of adjacent keys whose load is counted, and which are moved, as one bucket.
inline constexpr std::uint32_t keys_per_bucket = 4;
inline constexpr std::size_t bucket_count = (last_key + 1) / keys_per_bucket;

/// Exponentially decaying request count for each bucket of keys, summed over all hosts.
class key_load {
public:
    key_load();

    /// Counts one request for `key`.
    void add(key_position key);
    /// Decays all counts for the time since the last call. The first call only sets the start.
    void decay(time_point now);
    /// Recent requests per second for all buckets that overlap `keys`. Idle buckets count as
    /// slightly above 0, so that idle keys are also spread over the servers.
    double request_rate(const key_range& keys) const;
    /// `request_rate` of all keys.
    double total() const;

private:
    std::vector<float> buckets;
    time_point decayed_at;
    bool started = false;
};

}  // namespace greengagechute::ranges
