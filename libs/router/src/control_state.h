#pragma once

#include "platform/commit_once.h"
#include "router/control_task.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace greengagechute::router {

/// State of the host while it holds the coordinator's term.
struct control_task::coordinator_role {
    membership::view_state view;
    release::rollout_state rollout;
    std::map<service_id, ownership::planner_state> planners;
    std::vector<std::shared_ptr<platform::commit_attempt>> map_commits;
    std::optional<std::uint64_t> guard;
    bool head_known = false;
    bool decisions_allowed = false;
    bool maps_read = false;
    bool members_counted = false;
    std::uint64_t sequence = 0;
    std::optional<time_point> last_heartbeat;
    /// Send times of recent heartbeats by sequence.
    std::map<std::uint64_t, time_point> sent_heartbeats;
    /// A committed fact is not yet announced: heartbeats go out at once.
    bool announce = false;
    /// Versions of the `map/<service>` rows.
    std::map<std::string, std::uint64_t> map_rows;
    /// Departed instances that cannot act any more.
    std::set<host_instance> ended_authorities;
    /// Versions of the maps whose hosts were compared with the roster (`check_named_hosts`).
    std::map<service_id, map_version> checked_maps;
};

/// An operator or another host that waits for the result of a submission.
struct control_task::waiting_submission {
    std::function<void(release::submission_answer)> done;
    time_point since;
    std::string text;
    std::optional<time_point> last_sent;
};

/// The maps of all services being read from the store.
struct control_task::map_reading {
    std::size_t rows = 0;
    std::size_t missing = 0;
    /// Row versions of the maps that are known now.
    std::map<std::string, std::uint64_t> versions;
};

}  // namespace greengagechute::router
