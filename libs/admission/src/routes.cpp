#include "routes.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace greengagechute::admission {

namespace {

/// Assumed before anything was observed.
constexpr double first_guess = 5'000;
constexpr double shortest_service = 1;
constexpr double first_deviation = 0.5;
/// Work is long from 16 times the typical service time, and no longer long below 8 times; the gap
/// keeps a route near the limit from changing class with each observation. At 8 times, a class of 4
/// times the mean of short work became long by chance and was refused behind much longer work.
constexpr double long_from = 16;
constexpr double short_below = 8;
constexpr double route_weight = 1.0 / 16;
constexpr double typical_weight = 1.0 / 64;
/// An estimate that only refusals have used since may be wrong; the next request tests it.
constexpr std::chrono::seconds estimate_age{30};

std::string_view first_segment(std::string_view target) {
    target.remove_prefix(std::min(target.find_first_not_of('/'), target.size()));
    return target.substr(0, target.find_first_of("/?#"));
}

void classify(const server_queue& queue, route_estimate& estimate) {
    const double limit = estimate.long_work ? short_below : long_from;
    estimate.long_work = estimate.mean > limit * typical_service(queue);
}

void learn_typical(server_queue& queue, double service) {
    ++queue.observed_count;
    const double weight = std::max(1.0 / static_cast<double>(queue.observed_count), typical_weight);
    const double previous = std::log(std::max(queue.typical_service, shortest_service));
    queue.typical_service = std::exp(previous + weight * (std::log(service) - previous));
}

}  // namespace

route_id route_of(const service_id& service, std::string_view work_kind, std::string_view method,
                  std::string_view target) {
    // Each hash seeds the next, so that parts cannot run into each other.
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
    return queue.observed_count == 0 ? first_guess : queue.typical_service;
}

expectation expect(const server_queue& queue, const route_estimate& estimate, time_point now) {
    const bool is_known = estimate.samples > 0 && now - estimate.last_observed < estimate_age;
    if (is_known) {
        return {estimate.mean, estimate.deviation, estimate.long_work};
    }
    // Unknown work counts as long, so that it cannot take all slots before it is known.
    return {typical_service(queue), typical_service(queue), true};
}

void learn(server_queue& queue, route_estimate& estimate, double service, time_point now) {
    service = std::max(service, shortest_service);
    learn_typical(queue, service);
    ++estimate.samples;
    const double weight = std::max(1.0 / estimate.samples, route_weight);
    const double difference = service - estimate.mean;
    // The first observation has nothing to differ from; half of it is the usual start.
    const double deviation =
        estimate.samples == 1 ? service * first_deviation : std::abs(difference);
    estimate.deviation += weight * (deviation - estimate.deviation);
    estimate.mean += weight * difference;
    estimate.last_observed = now;
    classify(queue, estimate);
}

void learn_at_least(server_queue& queue, route_estimate& estimate, double service, time_point now) {
    if (service > expect(queue, estimate, now).service) {
        learn(queue, estimate, service, now);
    }
}

bool is_long(const server_queue& queue, double service) {
    return service > long_from * typical_service(queue);
}

}  // namespace greengagechute::admission
