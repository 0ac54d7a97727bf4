#pragma once

#include "admission/quarantine.h"
#include "base/time.h"
#include "gateway/crash_attribution.h"
#include "gateway/request_fingerprint.h"
#include "gateway/suspect_requests.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace greengagechute::gateway {

/// Requests under which three servers have ended are refused, at first for two minutes.
inline constexpr admission::quarantine_limits default_quarantine{3,
                                                                 std::chrono::minutes{2},
                                                                 std::chrono::minutes{16},
                                                                 std::chrono::minutes{10},
                                                                 milliseconds{0},
                                                                 4'096};

/// What a host knows of requests under which servers have ended. It answers the load of a request
/// that crashes each server that runs it and comes again, while sound requests are under way at
/// servers that happen to end.
struct crash_guard {
    admission::quarantine_table requests;
    crash_attribution attribution;
    /// Losses and cleared requests that the coordinator has not been told of.
    std::vector<request_loss> unreported;
    std::vector<request_fingerprint> cleared;
};

crash_guard make_crash_guard(const admission::quarantine_limits& limits);

/// A loss that counts anew.
struct counted_loss {
    request_fingerprint content;
    std::uint32_t losses = 0;
    /// Time until the request may be sent again; 0 if it still may.
    milliseconds refused_for{0};
};

/// Counts the requests that may have crashed a server instance.
std::vector<counted_loss> note_ended(crash_guard& guard, const ranges::server_instance& server,
                                     end_evidence evidence, time_point now);

/// Notes that a server has run a request to the end.
/// @return  whether losses were counted for it, which are forgotten now
bool note_survived(crash_guard& guard, request_fingerprint content, time_point now);

/// Time until the request may be sent to a server; 0 if it may be sent now.
milliseconds time_until_allowed(const crash_guard& guard, request_fingerprint content,
                                time_point now);

/// Whether a request that was interrupted may be sent to another server: not if it has been
/// interrupted at two servers that have ended or may have.
bool may_repeat(const crash_guard& guard, request_fingerprint content, time_point now);

/// Applies what the coordinator knows.
void apply(crash_guard& guard, const suspects_update& update, time_point now);

/// What the coordinator knows of requests under which servers have ended.
struct suspect_ledger {
    admission::quarantine_table requests;
    /// Raised with each change that other hosts need.
    std::uint64_t version = 0;
    /// Requests that were cleared, and when; oldest first.
    std::deque<std::pair<request_fingerprint, time_point>> cleared;
};

suspect_ledger make_suspect_ledger(const admission::quarantine_limits& limits);

/// Merges what a host has reported.
/// @return  whether other hosts need to know
bool record_report(suspect_ledger& ledger, const std::vector<request_loss>& losses,
                   const std::vector<request_fingerprint>& cleared, time_point now);

/// Merges what another coordinator knew.
void merge(suspect_ledger& ledger, const suspects_update& update, time_point now);

/// Whether a host that knows this version needs an update; 0 if it knows of no suspect requests.
bool has_news(const suspect_ledger& ledger, std::uint64_t known_version);

/// The requests that need one more loss, or none, to be refused, and the cleared ones.
suspects_update current_suspects(const suspect_ledger& ledger, time_point now);

/// Forgets what is too old.
void expire(suspect_ledger& ledger, time_point now);

}  // namespace greengagechute::gateway
