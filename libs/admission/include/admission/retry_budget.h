#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagechute::admission {

/// Default ratio of retries to first tries.
inline constexpr std::uint32_t retries_per_thousand_first_tries = 100;
/// Length of the sliding window in which tries are counted.
inline constexpr milliseconds retry_window{1'000};
/// Number of buckets that cover the window.
inline constexpr std::size_t retry_window_buckets = 50;

/// Bounds retries to a share of the first tries in a sliding window, so that retries do not
/// overload a failing service.
struct retry_budget {
    struct bucket {
        /// Bucket intervals since `origin`; -1 if the bucket is unused.
        std::int64_t number = -1;
        std::uint32_t first_tries = 0;
        std::uint32_t retries = 0;
    };
    /// If false, every retry is allowed; the baseline of benchmarks.
    bool enabled = true;
    /// Allowed retries per 1000 first tries.
    std::uint32_t per_thousand = retries_per_thousand_first_tries;
    time_point origin;
    /// Ring of the buckets of the window and the one that lies partly in it.
    std::array<bucket, retry_window_buckets + 1> buckets{};
};

retry_budget make_retry_budget(bool enabled, time_point now);

void record_first_try(retry_budget& budget, time_point now);

/// Counts one retry if the budget allows it.
/// @return  true if, with this one, the retries of the last second are at most
///          `per_thousand` / 1000 of its first tries
bool try_acquire_retry(retry_budget& budget, time_point now);

}  // namespace greengagechute::admission
