#include "work_ahead.h"

namespace greengagechute::admission {

// This loop is most of the time of an offer. The file is compiled with options that allow its sums
// to be reordered and vectorised.
work_ahead sum_ahead(const server_queue& queue, double score, double at) {
    const std::size_t size = queue.scores.size();
    const double* scores = queue.scores.data();
    const double* latest_start_times = queue.latest_start_times.data();
    const double* expected = queue.expected.data();
    const double* long_work = queue.long_work.data();
    double of_short = 0;
    double of_long = 0;
    double long_requests = 0;
    for (std::size_t index = 0; index < size; ++index) {
        // A request that will miss its deadline is passed over.
        const double is_ahead = scores[index] <= score ? 1.0 : 0.0;
        const double is_in_time = at <= latest_start_times[index] ? 1.0 : 0.0;
        const double counts = is_ahead * is_in_time;
        const double counts_long = counts * long_work[index];
        // Not as a difference of sums, since its rounding error would count as work.
        of_short += (counts - counts_long) * expected[index];
        of_long += counts_long * expected[index];
        long_requests += counts_long;
    }
    return {of_short, of_long, static_cast<std::size_t>(long_requests)};
}

}  // namespace greengagechute::admission
