#include "ranges/key_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace greengagechute::ranges {

namespace {

/// Load of a bucket without requests, in requests per second.
constexpr double idle_bucket_load = 0.0005;

}  // namespace

key_load::key_load(milliseconds decay_time)
    : decay_seconds(std::chrono::duration<double>(decay_time).count()),
      buckets(bucket_count, 0.0F) {}

void key_load::add(key_position key) {
    this->buckets[key / keys_per_bucket] += 1.0F;
}

void key_load::decay(time_point now) {
    if (!this->started) {
        this->started = true;
        this->decayed_at = now;
        return;
    }
    const double seconds = std::chrono::duration<double>(now - this->decayed_at).count();
    this->decayed_at = now;
    const auto factor = static_cast<float>(std::exp(-seconds / this->decay_seconds));
    for (float& count : this->buckets) {
        count *= factor;
    }
}

double key_load::request_rate(const key_range& keys) const {
    double sum = 0;
    const std::size_t first = keys.first / keys_per_bucket;
    const std::size_t last = keys.last / keys_per_bucket;
    for (std::size_t bucket = first; bucket <= last; ++bucket) {
        sum += static_cast<double>(this->buckets[bucket]) / this->decay_seconds + idle_bucket_load;
    }
    return sum;
}

bucket_load key_load::hottest_bucket(const key_range& keys) const {
    const auto begin = this->buckets.begin() + keys.first / keys_per_bucket;
    const auto end = this->buckets.begin() + keys.last / keys_per_bucket + 1;
    const auto hottest = std::max_element(begin, end);
    const auto bucket = static_cast<key_position>(hottest - this->buckets.begin());
    return {bucket * keys_per_bucket,
            static_cast<double>(*hottest) / this->decay_seconds + idle_bucket_load};
}

double key_load::total() const {
    return this->request_rate(key_range{});
}

}  // namespace greengagechute::ranges
