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

struct planner_settings {
    placement::placement_limits limits;
    /// The service has partitions.
    bool divided = true;
    /// Planned moves that may be under way at once.
    std::size_t max_moves_in_flight = 8;
    /// Time after which an unanswered move request is sent again.
    milliseconds move_retry{1000};
    /// Time for which a new planner treats hosts outside the roster as still authorised. A
    /// dispatcher that does not act on the map for twice this time is removed, so that the recovery
    /// plan can be executed.
    milliseconds authority_bound{10000};
    /// The same if the standby has ended as well, so that the dispatcher can ask nobody for
    /// consent.
    milliseconds stuck_after{2000};
};

/// A host that may dispatch or stand by.
struct roster_host {
    host_instance host;
    region_id region;
    data_centre_id data_centre;
    /// The host is leaving and gets no new roles.
    bool draining = false;
};

/// What is known about the hosts that may order a server.
struct server_roles {
    /// Version that named the present standby, and the one that removed the dispatcher.
    map_version standby_named;
    map_version dispatcher_removed;
    /// The standby before the present one. It may still act by its older map.
    std::optional<host_instance> old_standby;
    /// The old standby is out, and the dispatcher must prove that it was not taken over by acting
    /// on a version above this one.
    std::optional<map_version> old_standby_ended;
    std::optional<host_instance> old_dispatcher;
    /// False if an earlier planner made the last change, so that the old host is unknown.
    bool standby_known = false;
    bool dispatcher_known = false;
    time_point waiting_since;
    /// Since when the dispatcher has said that it does not act on the map.
    std::optional<time_point> lagging_since;
};

struct planner_state {
    planner_settings settings;
    service_id service;
    time_point started;
    /// The map in force; version 0 if there is none.
    placement::service_map map;
    /// The map whose commit is under way.
    std::optional<placement::service_map> committing;
    std::vector<placement::placement_server> servers;
    std::vector<roster_host> hosts;
    std::set<host_instance> ended;
    struct acknowledgement {
        map_version version;
        std::set<server_id> lagging;
        std::map<server_id, epoch> consents;
    };
    std::map<host_instance, acknowledgement> acknowledged;
    std::map<partition_id, std::pair<server_id, epoch>> reported_owners;
    std::map<server_id, std::pair<host_instance, map_version>> announced;
    std::map<server_id, server_roles> roles;
    /// Version since which the plan of a partition has been as it is. A partition that is absent
    /// has had its plan since before the planner started.
    std::map<partition_id, map_version> plan_since;
    /// When the plan of a partition was frozen.
    std::map<partition_id, time_point> frozen_since;
    map_version first_version;
    /// Partitions whose plan must not change before every host has acknowledged this version.
    std::map<partition_id, map_version> split_versions;
    struct move {
        epoch current;
        time_point requested;
    };
    std::map<partition_id, move> moves;
    std::vector<placement::hot_key_action> hot_key_actions;
    std::vector<double> loads;
    std::vector<placement::server_index> target_owners;
    std::vector<placement::server_index> target_successors;
    bool target_outdated = true;
};

/// @param map  the map in force, or one with version 0 if there is none
planner_state make_planner_state(const service_id& service, const planner_settings& settings,
                                 const placement::service_map& map, time_point now);

// Events.
struct planner_tick {};
/// Servers of the catalogue. A server that is absent is withdrawn.
struct servers_changed {
    std::vector<placement::placement_server> servers;
};
/// Hosts of the committed roster.
struct roster_changed {
    std::vector<roster_host> hosts;
};
/// The authority of a host has certainly ended: it was removed from the roster and the bound has
/// passed, or it left gracefully and its last grants have ended.
struct host_authority_ended {
    host_instance host;
};
/// A token report.
struct owner_reported {
    server_id owner;
    held_partition partition;
};
/// A standby took over. Repeated until a map names it.
struct dispatcher_announced {
    server_id server;
    host_instance dispatcher;
    /// The map version that the standby acted on. Tells a late message about an earlier role.
    map_version map;
};
/// A host acts on a map for all its servers except the lagging ones. Hosts repeat this whenever one
/// of the values changes, and to a new coordinator.
struct map_acknowledged {
    host_instance host;
    map_version version;
    std::vector<server_id> lagging;
    /// Servers for which the host, as standby, is bound by a promise (`active_promise`).
    std::vector<std::pair<server_id, epoch>> consents;

    friend bool operator==(const map_acknowledged&, const map_acknowledged&) = default;
};
/// The outcome of the commit under way is known: `map` is the map in force now.
struct commit_resolved {
    placement::service_map map;
};
/// Load of each entry of `service_map::partitions`.
struct loads_measured {
    std::vector<double> loads;
};
struct hot_keys_decided {
    std::vector<placement::hot_key_action> actions;
};
using planner_event =
    std::variant<planner_tick, servers_changed, roster_changed, host_authority_ended,
                 owner_reported, dispatcher_announced, map_acknowledged, commit_resolved,
                 loads_measured, hot_keys_decided>;

// Actions.
/// Commit this map if the version in force is the one before. At most one commit is under way until
/// `commit_resolved`.
struct commit_map {
    placement::service_map map;
};
struct request_moves {
    server_id server;
    host_instance dispatcher;
    map_version map;
    std::vector<partition_id> partitions;
};
using planner_action = std::variant<commit_map, request_moves>;

/// Advances the coordinator's plan for one service. Decisions are made at ticks and when a commit
/// is resolved; other events are only noted. Reports and announcements that a failed commit used
/// are needed again, so senders repeat them until a map shows them.
std::vector<planner_action> step(planner_state& state, const planner_event& event, time_point now);

/// The preferred hosts for a server, best first, by rendezvous hash: in the server's region and
/// outside its data centre, then in its region, then anywhere. Draining hosts are left out.
std::vector<host_instance> preferred_hosts(const placement::server_entry& server,
                                           const std::vector<roster_host>& hosts);

}  // namespace greengagechute::ownership
