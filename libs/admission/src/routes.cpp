#include "routes.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace greengagechute::admission {

namespace {

/// Typical service time in microseconds before the first observation.
constexpr double default_service = 5'000;
constexpr double min_service = 1;
constexpr double initial_deviation_ratio = 0.5;
/// A route becomes long work above 16 times the typical service time and short again at 8 times.
/// The hysteresis keeps a route near the threshold from changing class with each observation. With
/// 8 as the upper threshold, routes with 4 times the mean of short work were at times classified as
/// long and refused behind much longer work.
constexpr double long_threshold = 16;
constexpr double short_threshold = 8;
/// Weights of a new observation in the moving averages.
constexpr double route_smoothing = 1.0 / 16;
constexpr double typical_smoothing = 1.0 / 64;
/// An estimate that leads to the refusal of all requests of its route is never corrected. After
/// this time without an observation it counts as unknown.
constexpr std::chrono::seconds max_estimate_age{30};

std::string_view first_segment(std::string_view target) {
    target.remove_prefix(std::min(target.find_first_not_of('/'), target.size()));
    return target.substr(0, target.find_first_of("/?#"));
}

void classify(const server_queue& queue, route_estimate& estimate) {
    const double limit = estimate.long_work ? short_threshold : long_threshold;
    estimate.long_work = estimate.mean > limit * typical_service(queue);
}

void update_typical_service(server_queue& queue, double service) {
    ++queue.observed_count;
    const double weight =
        std::max(1.0 / static_cast<double>(queue.observed_count), typical_smoothing);
    const double previous = std::log(std::max(queue.typical_service, min_service));
    queue.typical_service = std::exp(previous + weight * (std::log(service) - previous));
}

}  // namespace

route_id route_of(const service_id& service, std::string_view work_kind, std::string_view method,
                  std::string_view target) {
    // Each hash seeds the next, so that the boundaries between the parts matter.
    std::uint64_t hash = hash64(service.value());
    hash = hash64(work_kind, hash);
    hash = hash64(method, hash);
    return route_id(hash64(first_segment(target), hash));
}

route_estimate& estimate_of(server_queue& queue, route_id route, time_point now) {
    auto& set = queue.routes[route.value() % route_set_count];
    route_estimate* oldest = set.data();
    for (route_estimate& candidate : set) {
        if (candidate.route == route) {
            candidate.last_used = now;
            return candidate;
        }
        if (candidate.last_used < oldest->last_used) {
            oldest = &candidate;
        }
    }
    *oldest = route_estimate{};
    oldest->route = route;
    oldest->last_used = now;
    return *oldest;
}

double typical_service(const server_queue& queue) {
    return queue.observed_count == 0 ? default_service : queue.typical_service;
}

expectation expect(const server_queue& queue, const route_estimate& estimate, time_point now) {
    const bool is_known = estimate.samples > 0 && now - estimate.last_observed < max_estimate_age;
    if (is_known) {
        return {estimate.mean, estimate.deviation, estimate.long_work};
    }
    // Requests of an unknown route count as long work, so that they cannot occupy all slots before
    // their service time is known.
    return {typical_service(queue), typical_service(queue), true};
}

void record_service_time(server_queue& queue, route_estimate& estimate, double service,
                         time_point now) {
    service = std::max(service, min_service);
    update_typical_service(queue, service);
    ++estimate.samples;
    const double weight = std::max(1.0 / estimate.samples, route_smoothing);
    const double difference = service - estimate.mean;
    // There is no mean before the first observation; as for round-trip times in TCP, the deviation
    // starts at half of it.
    const double deviation =
        estimate.samples == 1 ? service * initial_deviation_ratio : std::abs(difference);
    estimate.deviation += weight * (deviation - estimate.deviation);
    estimate.mean += weight * difference;
    estimate.last_observed = now;
    classify(queue, estimate);
}

void record_min_service_time(server_queue& queue, route_estimate& estimate, double service,
                             time_point now) {
    if (service > expect(queue, estimate, now).service) {
        record_service_time(queue, estimate, service, now);
    }
}

bool is_long(const server_queue& queue, double service) {
    return service > long_threshold * typical_service(queue);
}

}  // namespace greengagechute::admission
