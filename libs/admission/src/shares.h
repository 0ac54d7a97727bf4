#pragma once

#include "admission/server_queue.h"

#include <cstdint>

namespace greengagechute::admission {

/// Applies exponential decay with a time constant of one second.
/// @param elapsed  time since `work` was updated
double decayed(double work, time_point::duration elapsed);

/// The usage entry of a caller, created if there is none. Idle callers are evicted when there are
/// too many, so the reference is valid only until the next call.
/// @param caller  hash of the caller id
caller_share& share_of(server_queue& queue, std::uint64_t caller);

/// Updates the moving average of active callers when this caller offers a request.
void update_average_active_callers(server_queue& queue, const caller_share& share);

/// Recent work of the caller above the average of the active callers, in microseconds divided by
/// the number of slots; at least 0.
double excess_work(const server_queue& queue, const caller_share& share, time_point now);

/// Adds admitted work in microseconds to the recent work of the caller and of the queue.
void charge(server_queue& queue, caller_share& share, double work, time_point now);

/// Adds offered work in microseconds to the load of short work.
void add_short_work(server_queue& queue, double work, time_point now);

/// Count the queued and running requests of a caller.
void add_queued(server_queue& queue, caller_share& share);
void move_to_running(server_queue& queue, std::uint64_t caller);
/// @param work  admitted service time in microseconds that was not used; it is credited back
void remove_queued(server_queue& queue, std::uint64_t caller, double work);
void remove_running(server_queue& queue, std::uint64_t caller);

}  // namespace greengagechute::admission
