#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/store_version.h"

#include <map>
#include <optional>
#include <vector>

namespace greengagechute::gateway {

/// Request of the operator that nothing be sent to the servers of a data centre, or its withdrawal.
struct evacuation_change {
    data_centre_id data_centre;
    bool evacuated = false;
    /// Store version of the change.
    store_version version;
};

/// What this host knows of evacuations. Withdrawn ones are kept: they tell an older request, which
/// another host may still send, from a new one, and when the data centre's servers may be used
/// again.
struct evacuation_table {
    struct state {
        bool evacuated = false;
        store_version version;
        /// When this host learned of it.
        time_point since;
    };
    std::map<data_centre_id, state> data_centres;
    /// Store version of the newest change.
    store_version version;
};

/// Applies changes; skips those that are not newer than what is known of their data centre.
/// @return  the data centres whose evacuation has begun or ended
std::vector<data_centre_id> apply(evacuation_table& table,
                                  const std::vector<evacuation_change>& changes, time_point now);

/// Replaces the table by the evacuations in force at a store version: the others are withdrawn.
std::vector<data_centre_id> replace(evacuation_table& table,
                                    const std::vector<evacuation_change>& in_force,
                                    store_version version, time_point now);

/// All that is known, for a host that knows less.
std::vector<evacuation_change> all_changes(const evacuation_table& table);

/// Since when this host has known that the data centre is evacuated; empty if it is not.
std::optional<time_point> evacuated_since(const evacuation_table& table,
                                          const data_centre_id& data_centre);

/// End of the time for which a server of the data centre counts as cold. After an evacuation all of
/// them do for a while: they may have become cold, and their entries may say so later.
/// @param stated  end of the time for which the server has said that it is cold
/// @param warmup  time for which servers of its service are cold after a start
time_point cold_until(const evacuation_table& table, const data_centre_id& data_centre,
                      time_point stated, milliseconds warmup);

}  // namespace greengagechute::gateway
