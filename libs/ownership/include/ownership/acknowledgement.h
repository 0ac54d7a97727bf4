#pragma once

#include "base/time.h"
#include "ownership/map_planner.h"

#include <optional>

namespace greengagechute::ownership {

/// The acknowledgement that a host last sent to the coordinator for the map of one service.
struct sent_acknowledgement {
    std::optional<map_acknowledged> content;
    /// When `content` was first sent.
    time_point changed_at;
    time_point sent_at;
};

/// Returns whether the acknowledgement `present` has to be sent now. If so, records it in `last` as
/// sent at `now`.
/// A changed acknowledgement is sent at once. An unchanged one is repeated, since messages can be
/// lost: every second at first, then at intervals of a quarter of its age, at most 30 s. A constant
/// period of 1 s would cost the coordinator 0.28 KB/s for each host. Pass an empty `last` for a new
/// coordinator and after a lost connection, because the coordinator may not have the earlier ones.
bool mark_sent_if_due(sent_acknowledgement& last, const map_acknowledged& present, time_point now);

}  // namespace greengagechute::ownership
