#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "ownership/grant.h"
#include "placement/hot_keys.h"
#include "placement/place.h"
#include "placement/service_map.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace greengagechute::ownership {

/// Settings of the coordinator's planner for one service.
struct planner_settings {
    placement::placement_limits limits;
    /// Whether the service has partitions.
    bool divided = true;
    /// Highest number of planned moves in progress at once.
    std::size_t max_moves_in_flight = 8;
    /// Time after which an unanswered move request is sent again.
    milliseconds move_retry{1000};
    /// Longest time for which a host outside the roster may still use its authority; a new planner
    /// waits this long before it treats such hosts as ended. A dispatcher that has not applied the
    /// map for twice this time is removed, so that the recovery plan can be executed.
    milliseconds authority_bound{10000};
    /// Time after which a dispatcher that has not applied the map is removed if the standby has
    /// ended as well. Such a dispatcher cannot obtain consent from anyone.
    milliseconds stuck_after{2000};
};

/// A host that may be assigned as a dispatcher or a standby.
struct roster_host {
    host_instance host;
    region_id region;
    data_centre_id data_centre;
    /// The host is leaving and is assigned no new roles.
    bool draining = false;
};

/// What the planner knows about the present and former hosts that can send grants to a server.
struct server_roles {
    /// Map version that assigned the present standby, and the one that removed the dispatcher.
    map_version standby_named;
    map_version dispatcher_removed;
    /// The standby before the present one. It may still use an older map.
    std::optional<host_instance> old_standby;
    /// The authority of the old standby has ended. The dispatcher proves that it was not taken over
    /// before by applying this map version or a later one.
    std::optional<map_version> old_standby_ended;
    std::optional<host_instance> old_dispatcher;
    /// Whether this planner made the last change of the role. If an earlier planner did, the old
    /// host is unknown.
    bool standby_known = false;
    bool dispatcher_known = false;
    /// When the present standby was assigned.
    time_point waiting_since;
    /// Since when the dispatcher has reported that it has not applied the map.
    std::optional<time_point> lagging_since;
};

/// State of the coordinator's planner for one service. Changed by `step` only.
struct planner_state {
    planner_settings settings;
    service_id service;
    time_point started;
    /// The committed map; version 0 if there is none.
    placement::service_map map;
    /// The map whose commit is in progress.
    std::optional<placement::service_map> committing;
    std::vector<placement::placement_server> servers;
    std::vector<roster_host> hosts;
    /// Hosts whose authority has ended.
    std::set<host_instance> ended;
    /// The latest `map_acknowledged` of a host.
    struct acknowledgement {
        map_version version;
        std::set<server_id> lagging;
        std::map<server_id, epoch> consents;
    };
    std::map<host_instance, acknowledgement> acknowledged;
    std::map<partition_id, std::pair<server_id, epoch>> reported_owners;
    std::map<server_id, std::pair<host_instance, map_version>> announced;
    std::map<server_id, server_roles> roles;
    /// Map version of the last change of a partition's plan (owner, epoch, successor, frozen flag).
    /// The plan of an absent partition was last changed before the planner started.
    std::map<partition_id, map_version> plan_since;
    /// When the plan of a partition was frozen.
    std::map<partition_id, time_point> frozen_since;
    /// Map version at the start of the planner, or after an unexpected result of a commit.
    map_version first_version;
    /// Partitions whose plan must not change before every host has applied this map version.
    std::map<partition_id, map_version> split_versions;
    /// A planned move in progress: the epoch that the partition leaves, and the last request.
    struct move {
        epoch current;
        time_point requested;
    };
    std::map<partition_id, move> moves;
    std::vector<placement::hot_key_action> hot_key_actions;
    std::vector<double> loads;
    /// Result of the last placement, for each partition.
    std::vector<placement::server_index> target_owners;
    std::vector<placement::server_index> target_successors;
    /// Whether the inputs of the placement changed since the last one.
    bool target_outdated = true;
};

/// Returns the state of a planner that starts at `now`.
/// @param map  the committed map, or one with version 0 if there is none
planner_state make_planner_state(const service_id& service, const planner_settings& settings,
                                 const placement::service_map& map, time_point now);

// Events.
struct planner_tick {};
/// All servers of the catalogue. A server that is absent is withdrawn.
struct servers_changed {
    std::vector<placement::placement_server> servers;
};
/// All hosts of the committed roster.
struct roster_changed {
    std::vector<roster_host> hosts;
};
/// The authority of a host has certainly ended: it was removed from the roster and the bound has
/// passed, or it left gracefully and its last grants have ended.
struct host_authority_ended {
    host_instance host;
};
/// The dispatcher of `owner` reports that it received a partition.
struct owner_reported {
    server_id owner;
    held_partition partition;
};
/// A standby has taken over a server. Repeated until a map names it as the dispatcher.
struct dispatcher_announced {
    server_id server;
    host_instance dispatcher;
    /// The map version that the standby used for the takeover. Identifies late messages about an
    /// earlier role.
    map_version map;
};
/// A host has applied a map for all its servers except the lagging ones. Hosts send this again
/// whenever one of the values changes, and to a new coordinator.
struct map_acknowledged {
    host_instance host;
    map_version version;
    std::vector<server_id> lagging;
    /// Servers for which the host, as the standby, has an active promise, with the promised
    /// dispatcher epoch (`active_promise`).
    std::vector<std::pair<server_id, epoch>> consents;

    friend bool operator==(const map_acknowledged&, const map_acknowledged&) = default;
};
/// The result of the commit in progress is known: `map` is the committed map now.
struct commit_resolved {
    placement::service_map map;
};
/// Measured load of each entry of `service_map::partitions`, in any unit.
struct loads_measured {
    std::vector<double> loads;
};
/// Splits, merges and moves of hot keys that the next map should contain.
struct hot_keys_decided {
    std::vector<placement::hot_key_action> actions;
};
using planner_event =
    std::variant<planner_tick, servers_changed, roster_changed, host_authority_ended,
                 owner_reported, dispatcher_announced, map_acknowledged, commit_resolved,
                 loads_measured, hot_keys_decided>;

// Actions.
/// Commit this map if the committed version is its predecessor (compare-and-set). No further commit
/// is returned until `commit_resolved`.
struct commit_map {
    placement::service_map map;
};
/// Ask the dispatcher to move these partitions to their successors (`move_requested`).
struct request_moves {
    server_id server;
    host_instance dispatcher;
    map_version map;
    std::vector<partition_id> partitions;
};
using planner_action = std::variant<commit_map, request_moves>;

/// Advances the coordinator's plan for one service. Decisions are made at ticks and when a commit
/// is resolved; other events are only recorded. Reports and announcements that a failed commit used
/// are lost, so senders repeat them until a map contains them.
std::vector<planner_action> step(planner_state& state, const planner_event& event, time_point now);

/// The preferred hosts for a server, best first, by rendezvous hash: in the server's region and
/// outside its data centre, then in its region, then anywhere. Draining hosts are left out.
std::vector<host_instance> preferred_hosts(const placement::server_entry& server,
                                           const std::vector<roster_host>& hosts);

}  // namespace greengagechute::ownership
