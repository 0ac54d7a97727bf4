#pragma once

#include <chrono>
#include <cstdint>

namespace greengagechute {

/// A point on the local monotonic clock. Not comparable between processes.
using time_point = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
/// Wall clock time in milliseconds since 1970, used only to judge the age of UUIDv7 ids.
using wall_time = std::chrono::sys_time<milliseconds>;

/// Largest relative difference between the rates of two monotonic clocks, in parts per thousand.
inline constexpr std::int64_t clock_rate_bound_per_mille = 10;

/// The longest time, on a local clock, that a span of `length` on a remote clock can take.
constexpr milliseconds longest_local(milliseconds length) {
    constexpr std::int64_t per_mille = 1000;
    const std::int64_t divisor = per_mille - clock_rate_bound_per_mille;
    return milliseconds((length.count() * per_mille + divisor - 1) / divisor);
}

}  // namespace greengagechute
