#include "work_ahead.h"

namespace greengagechute::admission {

// Most of the run time of `offer` is spent in this loop. The file is compiled with options that
// allow the compiler to reorder and vectorise its sums.
work_ahead sum_ahead(const server_queue& queue, double score, double now_us) {
    const std::size_t size = queue.scores.size();
    const double* scores = queue.scores.data();
    const double* latest_start_times = queue.latest_start_times.data();
    const double* expected = queue.expected.data();
    const double* long_work = queue.long_work.data();
    double short_sum = 0;
    double long_sum = 0;
    double long_requests = 0;
    for (std::size_t index = 0; index < size; ++index) {
        // A request that can no longer meet its deadline is not counted.
        const double is_ahead = scores[index] <= score ? 1.0 : 0.0;
        const double is_in_time = now_us <= latest_start_times[index] ? 1.0 : 0.0;
        const double counts = is_ahead * is_in_time;
        const double counts_long = counts * long_work[index];
        // A difference of the two sums would have a rounding error that counts as work.
        short_sum += (counts - counts_long) * expected[index];
        long_sum += counts_long * expected[index];
        long_requests += counts_long;
    }
    return {short_sum, long_sum, static_cast<std::size_t>(long_requests)};
}

}  // namespace greengagechute::admission
