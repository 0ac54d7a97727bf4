#include "admission/retry_budget.h"

#include <chrono>

namespace greengagechute::admission {

namespace {

constexpr std::uint64_t thousand = 1'000;
constexpr milliseconds bucket_interval =
    retry_window / static_cast<std::int64_t>(retry_window_buckets);

std::int64_t bucket_number_at(const retry_budget& budget, time_point now) {
    return (now - budget.origin) / bucket_interval;
}

retry_budget::bucket& bucket_at(retry_budget& budget, time_point now) {
    const std::int64_t number = bucket_number_at(budget, now);
    auto& bucket = budget.buckets[static_cast<std::size_t>(number) % budget.buckets.size()];
    if (bucket.number != number) {
        bucket = {number, 0, 0};
    }
    return bucket;
}

}  // namespace

retry_budget make_retry_budget(bool enabled, time_point now) {
    retry_budget budget;
    budget.enabled = enabled;
    budget.origin = now;
    return budget;
}

void record_first_try(retry_budget& budget, time_point now) {
    ++bucket_at(budget, now).first_tries;
}

bool try_acquire_retry(retry_budget& budget, time_point now) {
    if (!budget.enabled) {
        return true;
    }
    const std::int64_t newest = bucket_number_at(budget, now);
    const auto window = static_cast<std::int64_t>(retry_window_buckets);
    std::uint64_t first_tries = 0;
    std::uint64_t retries = 1;
    for (const retry_budget::bucket& bucket : budget.buckets) {
        const std::int64_t age = newest - bucket.number;
        // The oldest bucket lies only partly in the last second. Its retries count and its first
        // tries do not, so that the bound holds for the exact second.
        first_tries += bucket.number >= 0 && age < window ? bucket.first_tries : 0;
        retries += bucket.number >= 0 && age <= window ? bucket.retries : 0;
    }
    if (retries * thousand > first_tries * budget.per_thousand) {
        return false;
    }
    ++bucket_at(budget, now).retries;
    return true;
}

}  // namespace greengagechute::admission
