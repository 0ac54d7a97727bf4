#pragma once

#include "admission/server_queue.h"

namespace greengagechute::admission {

/// The predicted service time of a request.
struct expectation {
    /// Mean service time in microseconds.
    double service = 0;
    /// Mean absolute deviation from it in microseconds.
    double deviation = 0;
    /// Whether the request counts against the slots for long work.
    bool long_work = false;
};

/// The estimate of a route. A new route evicts the least recently used one of its set.
route_estimate& estimate_of(server_queue& queue, route_id route, time_point now);

/// Typical service time of the server's requests in microseconds; a default before the first
/// observation.
double typical_service(const server_queue& queue);

/// Predicts the service time of a request from the estimate of its route.
expectation expect(const server_queue& queue, const route_estimate& estimate, time_point now);

/// Updates the estimate with an observed service time in microseconds.
void record_service_time(server_queue& queue, route_estimate& estimate, double service,
                         time_point now);

/// Updates the estimate with a lower bound of the service time in microseconds, if the bound
/// exceeds the expected time.
void record_min_service_time(server_queue& queue, route_estimate& estimate, double service,
                             time_point now);

/// Whether a service time in microseconds is long relative to the typical one.
bool is_long(const server_queue& queue, double service);

}  // namespace greengagechute::admission
