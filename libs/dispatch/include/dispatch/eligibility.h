#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <set>
#include <vector>

namespace greengagechute::dispatch {

/// Regions in which a request may run. Empty if it may run everywhere.
using region_list = std::vector<region_id>;

/// Whether a request may run in the region.
/// @param region  empty if it is not known; only requests that may run everywhere run there
bool is_allowed(const region_list& allowed, const region_id& region);

/// Regions in which the requests of all routes may run; nullopt if that is everywhere. Empty if the
/// routes have no region in common.
std::optional<std::set<region_id>> common_regions(const std::vector<region_list>& routes);

/// What decides whether a server may run a request, apart from its health and load.
struct server_place {
    /// Empty if it is not known.
    region_id region;
    /// Set while the operator wants nothing sent to the servers of its data centre: since when this
    /// host has known it.
    std::optional<time_point> evacuated_since;
    /// End of the time in which the server takes only its allowance of requests, see
    /// `cold_allowance.h`; in the past if it is warm or takes any number.
    time_point cold_until;
};

enum class verdict {
    eligible,
    /// The request may not run in the server's region.
    region_not_allowed,
    /// The server's data centre is evacuated.
    evacuated,
    /// The server is cold: it takes the request only out of its allowance.
    cold,
};

/// Whether a server may run a request that any server of its service can run.
verdict check(const server_place& server, const region_list& allowed, time_point now);

/// Whether the owner of a request's key may run it. Keys leave an evacuated data centre by
/// handover, which takes some time; until then only their owner can serve them.
/// @param max_evacuated_use  longest time for which an evacuated owner is used
verdict check_owner(const server_place& owner, const region_list& allowed,
                    milliseconds max_evacuated_use, time_point now);

}  // namespace greengagechute::dispatch
