#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "placement/service_map.h"
#include "release/catalogue.h"

#include <map>
#include <memory>
#include <string>

namespace greengagechute::router {

/// The host that dispatches to a server, if it differs from the map: it took over since.
struct dispatcher_override {
    host_instance dispatcher;
    std::string address;
    epoch dispatcher_epoch;
    /// The former dispatcher finished its work before.
    bool handed_over = false;
};

/// What the control task has learned and the request tasks need. Immutable once published.
struct routing_view {
    host_instance self;
    region_id region;
    std::string self_address;
    std::shared_ptr<const release::catalogue> catalogue;
    std::map<service_id, std::shared_ptr<const placement::service_map>> maps;
    /// Peer addresses of the hosts in the roster and of guests.
    std::map<host_instance, std::string> addresses;
    std::map<server_id, dispatcher_override> overrides;
    host_instance coordinator;
    std::string coordinator_address;
};

using view_pointer = std::shared_ptr<const routing_view>;

/// Whether the host may use its authority. Published at each change and renewed with each evidence,
/// so that a host that was paused finds it expired.
struct standing_notice {
    time_point valid_until;
    /// The release note in force is certain enough to admit work under it.
    bool revision_certain = false;
};

struct dispatcher_address {
    host_instance dispatcher;
    std::string address;
};

/// Where requests for a server go. The address is empty if it is not known.
dispatcher_address find_dispatcher(const routing_view& view, const placement::service_map& map,
                                   placement::server_index server);

/// Address of a host; empty if it is not known.
std::string find_address(const routing_view& view, const host_instance& host);

}  // namespace greengagechute::router
