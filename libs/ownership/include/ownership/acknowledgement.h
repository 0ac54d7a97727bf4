#pragma once

#include "base/time.h"
#include "ownership/map_planner.h"

#include <optional>

namespace greengagechute::ownership {

/// What a host last told the coordinator about the map of one service.
struct sent_acknowledgement {
    std::optional<map_acknowledged> content;
    /// When `content` was sent first.
    time_point changed_at;
    time_point sent_at;
};

/// Whether the acknowledgement is to be sent now; if so, it counts as sent.
/// A changed one is sent at once. An unchanged one is repeated, since messages can be lost: each
/// second at first, then after a quarter of its age, up to 30 s. A constant period of 1 s would
/// cost the coordinator 0.28 KB/s for each host. Begin with an empty `last` for a new coordinator
/// and after an interrupted connection to it, because it knows nothing of what was sent before.
bool mark_sent_if_due(sent_acknowledgement& last, const map_acknowledged& present, time_point now);

}  // namespace greengagechute::ownership
