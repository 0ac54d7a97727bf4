#pragma once

#include "base/time.h"
#include "ranges/range_table.h"

#include <cstddef>
#include <vector>

namespace greengagechute::ranges {

/// Keys that are counted, and moved, together.
inline constexpr std::uint32_t keys_per_bucket = 4;
inline constexpr std::size_t bucket_count = (last_key + 1) / keys_per_bucket;

/// Decaying count of requests per bucket of keys, reported by all hosts.
class key_load {
public:
    key_load();

    void add(key_position key);
    /// Lets counts decay up to `now`.
    void decay(time_point now);
    /// Requests a second on the keys, as far as counts are recent; never 0, so that idle keys are
    /// spread too.
    double request_rate(const key_range& keys) const;
    double total() const;

private:
    std::vector<float> buckets;
    time_point decayed_at;
    bool started = false;
};

}  // namespace greengagechute::ranges
