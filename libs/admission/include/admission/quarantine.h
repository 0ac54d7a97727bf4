#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagechute::admission {

/// Limits of the quarantine, which refuses requests that repeatedly crash servers.
struct quarantine_limits {
    /// Number of servers lost with the request in flight at which the request is refused.
    std::uint32_t losses = 2;
    /// Length of the first quarantine. A loss after its end begins one of twice the length, up to
    /// `longest`.
    milliseconds duration{600'000};
    milliseconds longest{600'000};
    /// Time from the end of a quarantine until the losses are forgotten. Within it the request is
    /// tried again, and one more loss quarantines it again.
    milliseconds probation{0};
    /// Added to the end of each quarantine on this host, so that hosts do not try a request again
    /// all at once.
    milliseconds stagger{0};
    /// Maximum number of tracked requests.
    std::size_t entries = 4'096;
};

/// Losses attributed to one request.
struct quarantine_entry {
    std::uint32_t losses = 0;
    /// Quarantines so far, the present one included.
    std::uint32_t quarantines = 0;
    /// End of the quarantine, if the losses are enough for one.
    time_point until;
    /// Time at which the losses are forgotten.
    time_point forgotten_at;
    /// Servers that were lost, as far as `record_loss` was told; the latest only.
    std::vector<std::uint64_t> servers;
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

/// Records the loss of a server that several hosts may report.
/// @param server  identifies the instance of the server; each counts once
/// @return        empty if it has been counted
std::optional<loss_notice> record_loss(quarantine_table& table, std::uint64_t fingerprint,
                                       std::uint64_t server, time_point now);

/// Forgets the losses of a request that a server has run to its end.
/// @return  whether there were any
bool forgive(quarantine_table& table, std::uint64_t fingerprint);

/// Merges a notice of another host: the higher count and the later end apply. A remaining time
/// above `quarantine_limits::longest` is reduced to it; a notice without losses or remaining time
/// is ignored.
void import_notice(quarantine_table& table, const loss_notice& notice, time_point now);

/// Whether the request is refused with `admission_errc::quarantined`.
bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Number of losses that are remembered; 0 if there are none.
std::uint32_t losses_of(const quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Time until the request is tried again; 0 if it is not quarantined.
milliseconds time_left(const quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Removes the entries whose time has passed.
void expire(quarantine_table& table, time_point now);

}  // namespace greengagechute::admission
