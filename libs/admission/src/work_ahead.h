#pragma once

#include "admission/server_queue.h"

#include <cstddef>

namespace greengagechute::admission {

/// Expected service time in microseconds of the queued requests that run before one with a given
/// score.
struct work_ahead {
    double short_work = 0;
    double long_work = 0;
    /// Number of long requests.
    std::size_t long_requests = 0;
};

/// Sums the work that runs before a request with `score`. Requests that can no longer meet their
/// deadline are not counted.
/// @param now_us  the current time in microseconds after the origin of the queue
work_ahead sum_ahead(const server_queue& queue, double score, double now_us);

}  // namespace greengagechute::admission
