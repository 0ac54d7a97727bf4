#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "ownership/grant.h"
#include "placement/service_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace greengagechute::ownership {

struct timing {
    milliseconds grant_length{800};
    milliseconds renew_period{200};
    /// A server that has not replied for this long is suspected to be lost.
    milliseconds suspect_after{400};
    milliseconds watch_period{150};
    /// A dispatcher whose standby has not heard it for this long is taken over.
    milliseconds watch_lost_after{450};
    /// Time between two reports about a partition that the map does not show yet.
    milliseconds report_period{1000};
    /// A standby that has not taken over this long after the map named no dispatcher leaves the
    /// server to the coordinator.
    milliseconds vacancy_timeout{2000};
};

enum class dispatch_phase {
    /// Learning the server's state, or waiting for consent or for the acceptance of a grant with a
    /// new dispatcher epoch.
    acquiring,
    /// Grants are renewed; work may be sent.
    active,
    /// The server does not reply; the standby was asked for consent and the last grant is running
    /// out. Stays until the server replies, also after the recovery plan was executed.
    recovering,
    /// Another host dispatches to the server. Nothing may be sent.
    ended,
};

/// A partition that leaves this server, and how far its hand-over has come.
struct outgoing_partition {
    /// With the epoch under which this server held it.
    held_partition partition;
    server_id successor;
    /// Set once the server has confirmed a grant without the partition, or its last grant has
    /// ended.
    bool released = false;
    /// Set once the dispatcher of the successor has acknowledged it.
    bool acknowledged = false;
    time_point last_sent;
    /// First set version without the partition; 0 while work of the partition may still run.
    std::uint64_t release_version = 0;
    /// After a takeover: when a partition that the server was found without counts as released.
    std::optional<time_point> release_at;
    std::uint64_t sends = 0;
};

/// The authority of a dispatcher over one server.
struct dispatch_state {
    service_id service;
    server_id server;
    host_instance self;
    timing times;
    dispatch_phase phase = dispatch_phase::acquiring;
    epoch dispatcher_epoch;
    std::optional<server_report> last_report;
    /// When the last reply arrived, and when the request that it answers was sent.
    time_point last_reply;
    time_point last_sent;
    std::uint64_t set_version = 0;
    std::vector<held_partition> held;
    std::vector<outgoing_partition> outgoing;
    bool consent = false;
    placement::service_map map;

    /// Run of the server that the state refers to.
    std::optional<boot_id> boot;
    /// Until when a grant that was sent may be in force, counted from the largest end ever sent.
    time_point granted_until;
    /// Until when the confirmed grant is certainly in force.
    time_point confirmed_until;
    /// The server has accepted `dispatcher_epoch` in its present run.
    bool claimed = false;
    /// The latest run of the server that accepted any epoch of this dispatcher.
    std::optional<boot_id> claimed_boot;
    /// Dispatcher epoch at the server on which the claim of `dispatcher_epoch` is based.
    epoch claim_base;
    /// A claim in this run of the server needs consent first.
    bool claim_needs_consent = true;
    /// Consent was asked for at this dispatcher epoch. The standby may have promised it.
    std::optional<epoch> requested_consent_epoch;
    /// The map version of that request. Plans of a later map need consent again.
    map_version consent_map_version;
    /// Highest epoch for which the present standby gave consent. It has given up its claims up to
    /// there, also those that the server may have accepted.
    std::optional<epoch> consented_epoch;
    time_point last_consent_request;
    time_point last_status_request;
    time_point last_grant;
    /// The standby that the first map with this dispatcher named.
    host_instance first_standby;
    /// This host took over as the standby of `map`.
    bool took_over = false;
    map_version applied_version;
    /// After a takeover: partitions that the map placed on the server, but that it was found
    /// without and whose plan was frozen. The old dispatcher may have passed them on.
    std::vector<held_partition> missing;
    /// When the grants of the old dispatcher to an earlier run of the server have ended.
    time_point missing_until;
    /// Servers of the newest map, also of one that is not adopted: where hand-overs are sent.
    std::vector<placement::server_entry> directory;
    map_version directory_version;
    /// `server_lost` was returned since the server last accepted a grant.
    bool lost_reported = false;
    /// Highest epoch of each partition that this server was to hold.
    std::map<partition_id, epoch> highest_epochs;
    /// Map version since which the plan of a partition has been as it is.
    std::map<partition_id, map_version> plan_since;
    /// Received partitions that the map does not show yet.
    std::vector<held_partition> unreported;
    time_point last_owner_report;
};

/// The state of a dispatcher that a map names for a server.
dispatch_state make_dispatch_state(const server_id& server, const host_instance& self,
                                   const timing& times, const placement::service_map& map);

/// Whether the dispatcher acts on this version of the map or a later one. If not, the host names
/// the server as lagging when it acknowledges the version. A dispatcher acts on a map that names it
/// while the server confirms its grants, which proves that no other host has taken the server over;
/// and on a map that does not name it after its last grant has ended. A map that contradicts a
/// hand-over under way is not adopted.
bool has_applied(const dispatch_state& state, map_version version);

/// Whether the host answers the standby's watch messages for this server.
bool answers_watch(const dispatch_state& state, bool has_standing);

// Events.
struct tick {};
/// The server replied to a grant or status request that was sent at `sent_at`.
struct server_replied {
    server_report report;
    time_point sent_at;
};
struct map_changed {
    placement::service_map map;
};
/// The coordinator asks for planned moves of these partitions to their successors.
struct move_requested {
    std::vector<partition_id> partitions;
    /// Version of the map that the request is based on. The request is ignored for partitions whose
    /// plan changed since then.
    map_version map;
};
/// No work of the partition is running or queued at the server any more.
struct partition_idle {
    partition_id partition;
};
struct consent_replied {
    /// The epoch that was asked about, or a higher one that the standby knows if it refused.
    epoch dispatcher_epoch;
    bool granted = false;
    /// The host that replied.
    host_instance standby;
    /// The map version that was asked about.
    map_version map;
};
/// A dispatcher passes a partition to this server.
struct partition_received {
    /// With its new epoch.
    held_partition partition;
    server_id from;
};
struct hand_over_acknowledged {
    /// As it was sent, with its new epoch.
    held_partition partition;
};
using dispatch_event =
    std::variant<tick, server_replied, map_changed, move_requested, partition_idle, consent_replied,
                 partition_received, hand_over_acknowledged>;

// Actions.
struct send_status_request {};
struct send_grant {
    grant offered_grant;
};
struct send_consent_request {
    host_instance standby;
    epoch dispatcher_epoch;
    /// The map whose plans the dispatcher may use with the consent.
    map_version map;
};
/// Stop sending work of the partition to the server; report `partition_idle` when none is left.
struct stop_partition {
    partition_id partition;
};
struct send_hand_over {
    /// With its new epoch.
    held_partition partition;
    server_id successor;
    /// The successor's dispatcher, or its standby on every second attempt, which may have taken
    /// over.
    host_instance dispatcher;
};
/// Tell the sender that the partition was received (also when it was received before).
struct acknowledge_hand_over {
    held_partition partition;
    server_id from;
};
/// Tell the coordinator who holds the partition now.
struct report_owner {
    held_partition partition;
    server_id owner;
};
/// The server is lost: work in flight there has an unknown outcome.
struct server_lost {};
/// Another host dispatches to the server; answer "moved" from now on.
struct authority_ended {};
using dispatch_action =
    std::variant<send_status_request, send_grant, send_consent_request, stop_partition,
                 send_hand_over, acknowledge_hand_over, report_owner, server_lost, authority_ended>;

/// Advances the dispatcher of one server.
/// @param has_standing  whether the host may use its authority now; without it no grant is renewed,
///                      no partition is passed on and no recovery plan is executed
std::vector<dispatch_action> step(dispatch_state& state, const dispatch_event& event,
                                  bool has_standing, time_point now);

/// Whether work for the partition may be sent to the server now, and with which epoch.
std::optional<held_partition> sendable(const dispatch_state& state, partition_id partition,
                                       time_point now);

/// The standby's side for one server.
struct standby_state {
    service_id service;
    server_id server;
    host_instance self;
    timing times;
    host_instance dispatcher;
    bool confirmed = false;
    time_point last_heard;
    time_point last_watch;
    /// Dispatcher epochs up to and including this one were promised not to be taken over.
    epoch promised_epoch;
    /// Highest dispatcher epoch that was heard of.
    epoch known_epoch;
    bool taking_over = false;
    bool taken_over = false;

    placement::service_map map;
    bool has_promised = false;
    /// Latest map of a request that was granted. A takeover needs this map or a later one, since
    /// the dispatcher may have passed on partitions that an earlier map does not place on the
    /// server.
    map_version min_map_version;
    /// Since when the dispatcher has been suspected.
    std::optional<time_point> suspected_since;
    time_point last_probe;
    /// The grant of the takeover under way, and when it has certainly ended.
    grant claim;
    time_point claim_until;
    /// Since when the map has named no dispatcher.
    std::optional<time_point> vacant_since;
};

/// The state of a host that a map names as the standby of a server.
standby_state make_standby_state(const server_id& server, const host_instance& self,
                                 const timing& times, const placement::service_map& map,
                                 time_point now);

/// Carries the promises of an earlier time as the standby of the same server over to `next`. They
/// bind the host, since a dispatcher may have acted on them.
void carry_over_promises(standby_state& next, const standby_state& former);

/// The same for a standby: no map is adopted while the outcome of a takeover is open. After a
/// takeover, the dispatcher's state counts.
bool has_applied(const standby_state& state, map_version version);

/// The dispatcher epoch that the standby promised not to take over, for `map_ack`. With a map that
/// names no dispatcher it means that the standby leaves the server to the coordinator.
std::optional<epoch> active_promise(const standby_state& state);

struct watch_answered {
    epoch dispatcher_epoch;
};
struct consent_requested {
    host_instance dispatcher;
    epoch dispatcher_epoch;
    /// The standby's own last probe of the server succeeded after the dispatcher was suspected.
    bool server_reachable = false;
    map_version map;
};
using standby_event =
    std::variant<tick, watch_answered, consent_requested, map_changed, server_replied>;

struct send_watch {
    host_instance dispatcher;
};
struct reply_consent {
    host_instance dispatcher;
    /// The epoch that was asked about, or the highest known epoch if that is higher.
    epoch dispatcher_epoch;
    bool granted = false;
    /// The map version that was asked about.
    map_version map;
};
/// The takeover succeeded: create a `dispatch_state` from this.
struct became_dispatcher {
    dispatch_state state;
};
using standby_action =
    std::variant<send_watch, send_status_request, send_grant, reply_consent, became_dispatcher>;

std::vector<standby_action> step(standby_state& state, const standby_event& event,
                                 bool has_standing, time_point now);

}  // namespace greengagechute::ownership
