#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagechute::admission {

inline constexpr std::uint32_t retries_per_thousand_first_tries = 100;
inline constexpr milliseconds retry_window{1'000};
inline constexpr std::size_t retry_window_buckets = 50;

/// Counts first tries and retries of the last second.
struct retry_budget {
    struct bucket {
        std::int64_t number = -1;
        std::uint32_t first_tries = 0;
        std::uint32_t retries = 0;
    };
    /// Off is the baseline: each retry is allowed.
    bool enabled = true;
    std::uint32_t per_thousand = retries_per_thousand_first_tries;
    time_point origin;
    std::array<bucket, retry_window_buckets + 1> buckets{};
};

retry_budget make_retry_budget(bool enabled, time_point now);

void record_first_try(retry_budget& budget, time_point now);

/// Takes one retry from the budget: true if, with it, the retries of the last second are at most
/// `per_thousand` of its first tries.
bool try_acquire_retry(retry_budget& budget, time_point now);

}  // namespace greengagechute::admission
