#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "ownership/grant.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace greengagechute::peer {

/// Header fields that are passed between caller and upstream.
using field_list = std::vector<std::pair<std::string, std::string>>;

/// Work that an entry host passes to the dispatcher of a server.
struct forward_request {
    request_id request;
    revision active_revision;
    map_version map;
    service_id service;
    server_id server;
    /// Valid for divided services only.
    partition_id partition;
    bool divided = false;
    std::string key;
    caller_id caller;
    std::string work_kind;
    bool idempotent = false;
    /// Empty for idempotent requests without an id.
    std::string idempotency_key;
    /// Time left until the caller's deadline when the message was sent.
    milliseconds deadline{0};
    std::string method;
    /// Path and query for the upstream.
    std::string target;
    field_list headers;
    std::string body;
};

/// The caller went away or its deadline passed.
struct forward_cancel {
    request_id request;
};

/// Status and headers of an upstream's answer.
struct answer_head {
    request_id request;
    std::uint16_t status = 0;
    field_list headers;
};

/// A part of the body. Parts are numbered from 0 without gaps.
struct answer_part {
    request_id request;
    std::uint32_t number = 0;
    std::string data;
};

/// The answer is whole: `parts` parts with `bytes` bytes were sent.
struct answer_end {
    request_id request;
    std::uint32_t parts = 0;
    std::uint64_t bytes = 0;
    /// The dispatcher's predicted wait for new work, for the choice among servers of an undivided
    /// service.
    milliseconds predicted_wait{0};
};

/// The entry host has passed on that many more bytes of the answer to the caller.
struct answer_credit {
    request_id request;
    std::uint64_t bytes = 0;
};

/// The request ends without an answer: it did not run, or its execution is unknown.
struct refused {
    request_id request;
    outcome state = outcome::not_run;
    /// Numbered error code.
    std::uint32_t code = 0;
    /// Versions at the dispatcher, so that the entry host can fetch newer ones.
    revision active_revision;
    map_version map;
    /// Where the work belongs, if the code says that it moved; empty otherwise.
    server_id moved_to;
    host_id moved_to_host;
    milliseconds predicted_wait{0};
};

/// Sent down the relay tree. Facts only: everything named here is committed.
struct heartbeat {
    term_number term;
    std::uint64_t sequence = 0;
    host_instance coordinator;
    std::string coordinator_address;
    roster_version roster;
    revision active_revision;
    /// Version of each service's map.
    std::vector<std::pair<service_id, map_version>> maps;
    bool store_available = true;
    /// `mark` of the receiver's last message to the sender; 0 if there was none. Tells the receiver
    /// that the content was true after that time on its own clock.
    std::uint64_t echo = 0;
    /// Age of the coordinator's evidence for its standing, with the ages added by each relay.
    milliseconds age{0};
    /// The coordinator has read row `head` in its term: `active_revision` is in force.
    bool head_known = false;
    /// Age of a write of `head` whose outcome the coordinator does not know; 0 if there is none.
    milliseconds head_open_for{0};
};

/// Aggregated up the relay tree: the hosts of the subtree that acknowledged the heartbeat.
struct heartbeat_ack {
    term_number term;
    std::uint64_t sequence = 0;
    struct entry {
        host_instance host;
        roster_version roster;
        revision active_revision;
        /// 0 if no note is prepared.
        revision prepared_revision;
    };
    std::vector<entry> hosts;
    /// Send time on the sender's monotonic clock in milliseconds, for `heartbeat::echo`.
    std::uint64_t mark = 0;
};

struct join {
    host_instance host;
    std::string address;
    region_id region;
    data_centre_id data_centre;
    /// See `heartbeat_ack::mark`.
    std::uint64_t mark = 0;
    /// The instance was in a roster before.
    bool was_member = false;
};

struct leave {
    host_instance host;
};

struct snapshot_request {
    /// The sender's versions; what is not newer is left out of the answer.
    roster_version roster;
    revision active_revision;
    std::vector<std::pair<service_id, map_version>> maps;
    /// Send time on the sender's monotonic clock in milliseconds; returned in the answer.
    std::uint64_t mark = 0;
};

/// Committed state of the sender. Bodies are in their stored form.
struct snapshot {
    term_number term;
    host_instance coordinator;
    std::string coordinator_address;
    roster_version roster;
    std::string roster_body;
    revision active_revision;
    /// The catalogue in force after `active_revision`.
    std::string catalogue_body;
    std::vector<std::pair<service_id, std::string>> maps;
    /// Highest revision that the sender has prepared; 0 if none.
    revision prepared_revision;
    /// `mark` of the request.
    std::uint64_t mark = 0;
};

struct prepare_note {
    term_number term;
    revision number;
    std::string submission;
    /// The catalogue that will be in force, and its digest.
    std::string catalogue_body;
    std::uint64_t digest = 0;
};

struct prepared {
    revision number;
    std::uint64_t digest = 0;
    bool accepted = false;
    std::uint32_t code = 0;
};

struct activate_note {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};

struct activated {
    revision number;
};

struct abort_note {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};

/// The coordinator counts the host among those that must prepare release notes; it may admit work
/// once `number` is active there.
struct welcome {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
    /// See `heartbeat::echo`.
    std::uint64_t echo = 0;
};

/// A release note that an operator handed to a host that is not the coordinator.
struct submit_note {
    std::string submission;
    std::string body;
};

struct submit_result {
    std::string submission;
    /// 0 pending, 1 accepted, 2 in force, 3 refused.
    std::uint8_t state = 0;
    std::uint32_t code = 0;
    std::string detail;
    revision number;
};

struct map_update {
    std::string map_body;
};

struct map_ack {
    service_id service;
    map_version version;
    /// Servers for which the sender does not act on this version yet.
    std::vector<server_id> lagging;
    /// Servers for which the sender, as standby, has promised consent, with the dispatcher epoch.
    std::vector<std::pair<server_id, epoch>> consents;
};

/// From standby to dispatcher.
struct watch {
    service_id service;
    server_id server;
};

struct watch_ack {
    service_id service;
    server_id server;
    epoch dispatcher_epoch;
};

struct consent_request {
    service_id service;
    server_id server;
    epoch dispatcher_epoch;
    /// The map whose plans the dispatcher may use with the consent.
    map_version map;
};

struct consent_reply {
    service_id service;
    server_id server;
    epoch dispatcher_epoch;
    bool granted = false;
    /// The map version that was asked about.
    map_version map;
};

/// Broadcast by a host that took over a server.
struct dispatcher_changed {
    service_id service;
    server_id server;
    host_instance dispatcher;
    std::string address;
    epoch dispatcher_epoch;
    /// Map version that the sender acted on as the standby.
    map_version map;
    /// The former dispatcher finished its work and passed its records on.
    bool handed_over = false;
};

/// From the coordinator: move these partitions to their successors.
struct move_request {
    service_id service;
    server_id server;
    map_version map;
    std::vector<partition_id> partitions;
};

/// A partition passes to a server that another host dispatches.
struct hand_over {
    service_id service;
    ownership::held_partition partition;
    server_id from;
    server_id to;
};

struct hand_over_ack {
    service_id service;
    ownership::held_partition partition;
    server_id from;
    server_id to;
};

/// Tells the coordinator who holds partitions now.
struct token_report {
    service_id service;
    server_id owner;
    std::vector<ownership::held_partition> partitions;
};

struct idempotency_record {
    std::string id;
    outcome state = outcome::unknown;
    std::uint16_t status = 0;
    std::string body;
    field_list headers;
    bool has_body = false;
    std::uint64_t fingerprint = 0;
};

/// From a dispatcher that leaves to its standby.
struct dispatch_hand_over {
    service_id service;
    server_id server;
    epoch dispatcher_epoch;
    std::vector<idempotency_record> records;
    /// Ids created up to this time, in milliseconds since 1970, may have run without a record.
    std::uint64_t unknown_until = 0;
};

/// A request that crashed servers is refused on all hosts for a time.
struct quarantine_notice {
    std::uint64_t fingerprint = 0;
    std::uint32_t losses = 0;
    milliseconds remaining{0};
};

using message =
    std::variant<forward_request, forward_cancel, answer_head, answer_part, answer_end,
                 answer_credit, refused, heartbeat, heartbeat_ack, join, leave, snapshot_request,
                 snapshot, prepare_note, prepared, activate_note, activated, abort_note,
                 submit_note, submit_result, map_update, map_ack, watch, watch_ack, consent_request,
                 consent_reply, dispatcher_changed, move_request, hand_over, hand_over_ack,
                 token_report, dispatch_hand_over, quarantine_notice, welcome>;

}  // namespace greengagechute::peer
