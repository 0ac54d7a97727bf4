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

/// Periods and timeouts of dispatchers and standbys.
struct timing {
    /// Duration of a grant on the server's clock.
    milliseconds grant_length{800};
    /// Period of grant renewals and status requests.
    milliseconds renew_period{200};
    /// A server that has not replied for this long is suspected to have failed.
    milliseconds suspect_after{400};
    /// Period of a standby's watch messages and status requests, and of repeated requests for
    /// consent and unacknowledged hand-overs.
    milliseconds watch_period{150};
    /// A standby takes over when the dispatcher has not answered a watch message for this long.
    milliseconds watch_lost_after{450};
    /// Period of repeated owner reports, and of acknowledged hand-overs that the map does not
    /// contain yet.
    milliseconds report_period{1000};
    /// A standby that has not taken over within this time after the map named no dispatcher leaves
    /// the server to the coordinator.
    milliseconds vacancy_timeout{2000};
};

/// How far a dispatcher's authority over its server is established.
enum class dispatch_phase {
    /// The server's state is being read, or consent or the acceptance of a grant with a new
    /// dispatcher epoch is awaited.
    acquiring,
    /// Grants are renewed; work may be sent.
    active,
    /// The server does not reply. The dispatcher requests the standby's consent and waits until the
    /// last grant has expired, then executes the recovery plan. Lasts until the server replies,
    /// also after the recovery plan was executed.
    recovering,
    /// Another host dispatches to the server. No grants or work may be sent.
    ended,
};

/// The hand-over of a partition from this server to its successor.
struct outgoing_partition {
    /// With the epoch at which this server held it.
    held_partition partition;
    server_id successor;
    /// The server can't run work of the partition any more: it has confirmed a grant without the
    /// partition, or its last grant has ended.
    bool released = false;
    /// The dispatcher of the successor has acknowledged the hand-over.
    bool acknowledged = false;
    time_point last_sent;
    /// First set version without the partition; 0 while work of the partition may still run.
    std::uint64_t release_version = 0;
    /// Only after a takeover, for a partition that the server did not hold: when it counts as
    /// released.
    std::optional<time_point> release_at;
    /// Number of hand-over messages sent.
    std::uint64_t sends = 0;
};

/// State of the dispatcher of one server. Changed by `step` only.
struct dispatch_state {
    service_id service;
    server_id server;
    host_instance self;
    timing times;
    dispatch_phase phase = dispatch_phase::acquiring;
    epoch dispatcher_epoch;
    std::optional<server_report> last_report;
    /// When the last reply arrived, and when the request for it was sent.
    time_point last_reply;
    time_point last_sent;
    /// Version of `held`, and the partitions that the next grant contains, sorted.
    std::uint64_t set_version = 0;
    std::vector<held_partition> held;
    std::vector<outgoing_partition> outgoing;
    /// The standby granted the last consent request.
    bool consent = false;
    /// The newest adopted map.
    placement::service_map map;

    /// Run of the server to which the state applies.
    std::optional<boot_id> boot;
    /// Until when any grant that was sent may be in force. Never becomes earlier.
    time_point granted_until;
    /// Until when the confirmed grant is certainly in force, also with the largest clock rate
    /// difference (`clock_rate_bound_per_mille`).
    time_point confirmed_until;
    /// The server has accepted `dispatcher_epoch` in its present run.
    bool claimed = false;
    /// The latest run of the server that accepted a grant of this dispatcher.
    std::optional<boot_id> claimed_boot;
    /// The server's dispatcher epoch before the claim of `dispatcher_epoch` (`expected_epoch`).
    epoch claim_base;
    /// In this run of the server, consent is needed before a claim.
    bool claim_needs_consent = true;
    /// The dispatcher epoch for which consent was last requested, if any since the last claim. The
    /// standby may have promised not to take over at it.
    std::optional<epoch> requested_consent_epoch;
    /// The map version of that request. The plans of a later map need new consent.
    map_version consent_map_version;
    /// Highest epoch for which the present standby gave consent. The standby has abandoned its
    /// claims up to this epoch, also those that the server may have accepted.
    std::optional<epoch> consented_epoch;
    time_point last_consent_request;
    time_point last_status_request;
    time_point last_grant;
    /// The standby in the first map that names this dispatcher.
    host_instance first_standby;
    /// This host took over as the standby of `map`.
    bool took_over = false;
    /// The latest map version that was applied; see `has_applied`.
    map_version applied_version;
    /// After a takeover: partitions that the map assigns to the server, that the server did not
    /// hold, and whose plan was frozen. The old dispatcher may have handed them over.
    std::vector<held_partition> missing;
    /// When the old dispatcher's grants to an earlier run of the server have certainly ended.
    time_point missing_until;
    /// Servers of the newest map, also if that was not adopted. Hand-overs are addressed by it.
    std::vector<placement::server_entry> directory;
    map_version directory_version;
    /// `server_lost` has been returned since the server last accepted a grant.
    bool lost_reported = false;
    /// Highest epoch at which this server was to hold each partition.
    std::map<partition_id, epoch> highest_epochs;
    /// Map version of the last change of a partition's plan.
    std::map<partition_id, map_version> plan_since;
    /// Received partitions that the map does not assign to this server yet.
    std::vector<held_partition> unreported;
    time_point last_owner_report;
};

/// Returns the initial state of the dispatcher that `map` names for a server. The phase is `ended`
/// if the map does not contain the server.
dispatch_state make_dispatch_state(const server_id& server, const host_instance& self,
                                   const timing& times, const placement::service_map& map);

/// Whether the dispatcher has applied this version of the map or a later one. If not, the host
/// reports the server as lagging when it acknowledges the version. A map that names the dispatcher
/// is applied once the server confirms the dispatcher's grants, which proves that no other host has
/// taken the server over. A map that does not name it is applied once its last grant has ended. A
/// map that contradicts a hand-over in progress is not adopted.
bool has_applied(const dispatch_state& state, map_version version);

/// Whether the host answers the standby's watch messages for this server.
/// @param has_standing  as for `step`
bool answers_watch(const dispatch_state& state, bool has_standing);

// Events.
/// Time has passed. Drives all periods and timeouts.
struct tick {};
/// The server replied to a grant or a status request that was sent at `sent_at` on the local clock.
struct server_replied {
    server_report report;
    time_point sent_at;
};
/// A newer map of the service was committed.
struct map_changed {
    placement::service_map map;
};
/// The coordinator asks for planned moves of these partitions to their successors.
struct move_requested {
    std::vector<partition_id> partitions;
    /// Version of the map on which the request is based. The request is ignored for partitions
    /// whose plan has changed since.
    map_version map;
};
/// No work of the partition is running or queued at the server any more; follows `stop_partition`.
struct partition_idle {
    partition_id partition;
};
/// A host replied to a consent request.
struct consent_replied {
    /// The requested epoch, or after a refusal a higher one that the standby knows.
    epoch dispatcher_epoch;
    bool granted = false;
    /// The host that replied.
    host_instance standby;
    /// The map version of the request.
    map_version map;
};
/// Another dispatcher hands a partition over to this server.
struct partition_received {
    /// With its new epoch.
    held_partition partition;
    server_id from;
};
/// The dispatcher of the successor received a hand-over.
struct hand_over_acknowledged {
    /// As sent, with its new epoch.
    held_partition partition;
};
using dispatch_event =
    std::variant<tick, server_replied, map_changed, move_requested, partition_idle, consent_replied,
                 partition_received, hand_over_acknowledged>;

// Actions.
/// Request the state of the server.
struct send_status_request {};
/// Send a grant to the server, which may refuse it.
struct send_grant {
    grant offered_grant;
};
/// Ask the standby to promise not to take the server over at this dispatcher epoch.
struct send_consent_request {
    host_instance standby;
    epoch dispatcher_epoch;
    /// Version of the map whose plans the dispatcher may execute with the consent.
    map_version map;
};
/// Stop sending work of the partition to the server. Give `partition_idle` when none is left.
struct stop_partition {
    partition_id partition;
};
/// Hand a partition over to its successor.
struct send_hand_over {
    /// With its new epoch.
    held_partition partition;
    server_id successor;
    /// The recipient: the successor's dispatcher or, on every second attempt, its standby, since
    /// that may have taken over.
    host_instance dispatcher;
};
/// Tell the sender that the partition was received. Also returned for repeated hand-overs.
struct acknowledge_hand_over {
    held_partition partition;
    server_id from;
};
/// Tell the coordinator which server holds the partition now.
struct report_owner {
    held_partition partition;
    server_id owner;
};
/// The server has failed or restarted. The outcome of requests in flight there is unknown.
struct server_lost {};
/// Another host dispatches to the server. Refuse further requests for it as moved.
struct authority_ended {};
using dispatch_action =
    std::variant<send_status_request, send_grant, send_consent_request, stop_partition,
                 send_hand_over, acknowledge_hand_over, report_owner, server_lost, authority_ended>;

/// Advances the dispatcher of one server and returns what has to be done, in this order.
/// @param has_standing  whether the host may use its authority now (see membership/standing.h).
///                      Without it no grant is sent, no partition is handed over and no recovery
///                      plan is executed.
std::vector<dispatch_action> step(dispatch_state& state, const dispatch_event& event,
                                  bool has_standing, time_point now);

/// Returns the partition with its epoch if work for it may be sent to the server now, and nothing
/// otherwise. For a service without partitions, that is `whole_service`.
std::optional<held_partition> sendable(const dispatch_state& state, partition_id partition,
                                       time_point now);

/// State of the standby of one server. Changed by `step` only.
struct standby_state {
    service_id service;
    server_id server;
    host_instance self;
    timing times;
    /// The dispatcher to watch; empty if the map names none.
    host_instance dispatcher;
    /// The map confirms this host as the standby. Only a confirmed standby takes over.
    bool confirmed = false;
    /// When the dispatcher last answered, and when the last watch message was sent.
    time_point last_heard;
    time_point last_watch;
    /// The standby promised not to take over at dispatcher epochs up to and including this one.
    /// Valid if `has_promised`.
    epoch promised_epoch;
    /// Highest known dispatcher epoch.
    epoch known_epoch;
    /// A claim was sent and its result is unknown.
    bool taking_over = false;
    /// The claim was accepted; this host is the dispatcher.
    bool taken_over = false;

    placement::service_map map;
    bool has_promised = false;
    /// Latest map version of a granted consent request. A takeover needs this version or a later
    /// one, since the dispatcher may have handed over partitions that an earlier map does not
    /// assign to the server.
    map_version min_map_version;
    /// Since when the dispatcher has been suspected.
    std::optional<time_point> suspected_since;
    /// When the server's state was last requested.
    time_point last_probe;
    /// The grant of the last claim, and when it has certainly ended.
    grant claim;
    time_point claim_until;
    /// Since when the map has named no dispatcher.
    std::optional<time_point> vacant_since;
};

/// Returns the initial state of a host that a map names as the standby of a server.
standby_state make_standby_state(const server_id& server, const host_instance& self,
                                 const timing& times, const placement::service_map& map,
                                 time_point now);

/// Copies the promises of the host's former time as the standby of the same server to `next`. They
/// stay binding, since a dispatcher may rely on them.
void carry_over_promises(standby_state& next, const standby_state& former);

/// Whether the standby has applied this version of the map or a later one. No map is adopted while
/// the result of a claim is unknown. After a takeover this is always true, and the `dispatch_state`
/// decides.
bool has_applied(const standby_state& state, map_version version);

/// Returns the highest dispatcher epoch at which the standby promised not to take over, or nothing
/// if no promise is in force. Part of `map_acknowledged`. With a map that names no dispatcher, a
/// promise means that the standby leaves the server to the coordinator.
std::optional<epoch> active_promise(const standby_state& state);

/// The dispatcher answered a watch message.
struct watch_answered {
    epoch dispatcher_epoch;
};
/// The dispatcher requests consent (`send_consent_request`).
struct consent_requested {
    host_instance dispatcher;
    epoch dispatcher_epoch;
    /// The server has replied to this host recently, so consent is refused.
    bool server_reachable = false;
    map_version map;
};
using standby_event =
    std::variant<tick, watch_answered, consent_requested, map_changed, server_replied>;

/// Check that the dispatcher is alive.
struct send_watch {
    host_instance dispatcher;
};
/// Reply to a consent request.
struct reply_consent {
    host_instance dispatcher;
    /// The requested epoch, or after a refusal the highest known epoch if that is higher.
    epoch dispatcher_epoch;
    bool granted = false;
    /// The map version of the request.
    map_version map;
};
/// The takeover succeeded. The host dispatches to the server from now on, beginning with `state`.
struct became_dispatcher {
    dispatch_state state;
};
using standby_action =
    std::variant<send_watch, send_status_request, send_grant, reply_consent, became_dispatcher>;

/// Advances the standby of one server and returns what has to be done, in this order.
/// @param has_standing  whether the host may use its authority now. Without it the standby does not
///                      take over.
std::vector<standby_action> step(standby_state& state, const standby_event& event,
                                 bool has_standing, time_point now);

}  // namespace greengagechute::ownership
