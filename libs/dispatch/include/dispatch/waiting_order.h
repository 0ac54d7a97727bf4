#pragma once

#include "base/time.h"

#include <cstddef>
#include <vector>

namespace greengagechute::dispatch {

/// A request that waits in a host for a server.
struct waiting_request {
    /// 0 is the most urgent.
    int priority = 0;
    time_point arrived;
    /// Time until which an answer has its full value; the epoch if its route states no target.
    time_point target_by;
    /// Expected time from sending it to its answer.
    milliseconds work{0};
};

/// Whether an answer would come after the time within which it has its full value, even if the
/// request were sent now.
bool misses_target(const waiting_request& request, time_point now);

/// Order in which waiting requests get the places that become free; indexes into `waiting`.
///
/// The load that this answers: a crest leaves requests that have waited past their target latency
/// before those that could still keep theirs. In order of arrival, all of them would be late.
/// Requests that can keep their target go first, by priority, then by the latest time at which they
/// can be sent for that, so that of equal ones the shorter work waits longer. Each fifth place goes
/// to one that is late, so that none is starved. Late ones go by priority, then by arrival.
/// @param places_given  number of places that were given before, of which each fifth went to a late
///                      request
std::vector<std::size_t> order_of_service(const std::vector<waiting_request>& waiting,
                                          std::size_t places_given, time_point now);

}  // namespace greengagechute::dispatch
