#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace greengagechute::admission {

/// Limits of the quarantine, which refuses requests that repeatedly crash servers.
struct quarantine_limits {
    /// Number of servers lost with the request in flight at which the request is refused.
    std::uint32_t losses = 2;
    /// Time after the last loss until the losses are forgotten and the quarantine ends.
    milliseconds duration{600'000};
    /// Maximum number of tracked requests.
    std::size_t entries = 4'096;
};

/// Losses attributed to one request.
struct quarantine_entry {
    std::uint32_t losses = 0;
    /// Time at which the losses are forgotten and a quarantine ends.
    time_point until;
};

struct quarantine_table {
    quarantine_limits limits;
    /// By fingerprint of the request.
    std::unordered_map<std::uint64_t, quarantine_entry> entries;
};

/// Tells the other hosts about the losses of a request; it is sent to all hosts.
struct loss_notice {
    std::uint64_t fingerprint = 0;
    std::uint32_t losses = 0;
    /// Time until the losses are forgotten.
    milliseconds remaining{0};
};

/// Hash of the parts of a request; equal for the same request from any caller.
std::uint64_t fingerprint_of(const service_id& service, std::string_view key,
                             std::string_view method, std::string_view target,
                             std::string_view body);

quarantine_table make_quarantine_table(const quarantine_limits& limits);

/// Records that a server was lost with the request in flight.
/// @return  notice to send to all hosts, also after the first loss, so that a new dispatcher
///          continues the count
loss_notice record_loss(quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Merges a notice of another host: the higher count and the later end apply. A remaining time
/// above `quarantine_limits::duration` is reduced to it; a notice without losses or remaining time
/// is ignored.
void import_notice(quarantine_table& table, const loss_notice& notice, time_point now);

/// Whether the request is refused with `admission_errc::quarantined`.
bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Removes the entries whose time has passed.
void expire(quarantine_table& table, time_point now);

}  // namespace greengagechute::admission
