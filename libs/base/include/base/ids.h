#pragma once

#include "base/strong_id.h"

#include <cstdint>
#include <string>

namespace greengagechute {

/// A machine of the system, as named in its settings.
using host_id = strong_id<struct host_tag, std::string>;
/// A service that callers name in a request path.
using service_id = strong_id<struct service_tag, std::string>;
/// A member of an upstream. Unique within the catalogue of one customer.
using server_id = strong_id<struct server_tag, std::string>;
/// A region: several data centres joined by fast links.
using region_id = strong_id<struct region_tag, std::string>;
/// A data centre: a failure domain within a region.
using data_centre_id = strong_id<struct data_centre_tag, std::string>;
/// A customer of a service, as named in the `X-Caller` header.
using caller_id = strong_id<struct caller_tag, std::string>;

/// One run of a daemon on a host; drawn at random at each start.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
/// Fencing token: a higher epoch replaces a lower one.
using epoch = strong_id<struct epoch_tag, std::uint64_t>;
/// Position of a release note in the one total order. 0 means that no note is in force.
using revision = strong_id<struct revision_tag, std::uint64_t>;
/// Version of the partition map of a service.
using map_version = strong_id<struct map_version_tag, std::uint64_t>;
/// Version of the roster of hosts.
using roster_version = strong_id<struct roster_version_tag, std::uint64_t>;
/// Number of a coordinator's term of office.
using term_number = strong_id<struct term_number_tag, std::uint64_t>;
/// Identifies one forwarded request among all daemons.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// A partition of a divided service; ids from the partition count upwards stand for single hot
/// keys.
using partition_id = strong_id<struct partition_tag, std::uint32_t>;

/// One run of a daemon: the host and its incarnation.
struct host_instance {
    host_id host;
    incarnation instance;

    friend auto operator<=>(const host_instance&, const host_instance&) = default;
    friend bool operator==(const host_instance&, const host_instance&) = default;
};

}  // namespace greengagechute
