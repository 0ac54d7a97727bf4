#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::membership {

/// Bounds of a decoded roster.
inline constexpr std::size_t max_roster_hosts = 4096;
inline constexpr std::size_t max_roster_text = std::size_t{2} * 1024 * 1024;

struct roster_host {
    host_instance instance;
    /// `ip:port` of the peer listener.
    std::string address;
    region_id region;
    data_centre_id data_centre;
    /// The host finishes its work and takes no new role.
    bool draining = false;
    /// Roster version with which this instance joined.
    roster_version since;

    friend bool operator==(const roster_host&, const roster_host&) = default;
};

/// The hosts that are members, as kept in row `roster`.
struct roster {
    roster_version version;
    /// Sorted by host id; one instance per host.
    std::vector<roster_host> hosts;
    /// Instances that the step from the previous version to this one took out. Together with
    /// `roster_host::since` this gives the previous roster, whose majority has to acknowledge this
    /// version.
    std::vector<host_instance> removed;

    friend bool operator==(const roster&, const roster&) = default;
};

/// JSON text for row `roster`.
std::string encode(const roster& value);
/// Errors: `membership_errc::malformed_roster`, `roster_full`.
result<roster> decode_roster(std::string_view text);

const roster_host* find(const roster& value, const host_id& host);
/// Whether the roster has this host with this incarnation.
bool contains(const roster& value, const host_instance& instance);
/// The smallest number that is more than half of `count`.
std::size_t majority_of(std::size_t count);

/// The next version with `host` added. Another incarnation of the same host is replaced and listed
/// in `removed`. Errors: `duplicate_host` if the instance is a member already, `roster_full`.
result<roster> join(const roster& value, const roster_host& host);
/// The next version without the instance. Error: `unknown_host`.
result<roster> leave(const roster& value, const host_instance& instance);
/// The next version without all of the instances. Error: `unknown_host` if one is not a member.
result<roster> remove(const roster& value, const std::vector<host_instance>& instances);
/// The next version with the draining flag of the instance set. Error: `unknown_host`.
result<roster> set_draining(const roster& value, const host_instance& instance, bool draining);

/// Members of the version before `value`.
std::vector<host_instance> previous_members(const roster& value);

}  // namespace greengagechute::membership
