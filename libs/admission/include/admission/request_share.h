#pragma once

#include "base/time.h"

namespace greengagechute::admission {

/// Decides which requests for a hot key are sent to its only owner, and which are refused at once.
///
/// The load that these functions answer: one key gets several times as many requests as its owner
/// can run, through hundreds of hosts. If each host limits its own requests at the owner, their
/// least limit of one request each is many times the owner's slots and queue. The coordinator knows
/// the demand of all hosts. It limits the rate of the key's requests, and tells each host the
/// fraction of them to send. A fraction needs no knowledge of the single host's demand, and holds
/// for ten hosts as for a thousand.

/// Requests per slot that a server runs and queues without harm.
inline constexpr double max_outstanding_per_slot = 4;

/// What a host sends of the requests for a hot key.
struct sent_fraction {
    /// In (0, 1].
    double fraction = 1;
    /// Part of the next request to be sent that has been saved.
    double credit = 0;
};

/// What turning a request away costs its caller, and the room that it needs.
struct request_standing {
    /// More urgent than others for the same servers.
    bool urgent = false;
    /// Its answer would come after the time within which it has its full value.
    bool past_target = false;
    /// Work that it needs, relative to the mean of the requests for the same servers. Above 0.
    double relative_work = 1;
};

/// Decides about the next request; returns whether it may be sent. A request takes as much of the
/// fraction as it needs work. An urgent one may be sent in advance of the next one that would be;
/// one that is past its target is sent only out of what the others leave.
bool take_next(sent_fraction& share, const request_standing& request);

/// Time after which a caller whose request was refused may come back, before jitter. It grows with
/// the part of the requests that is refused.
milliseconds time_to_return(const sent_fraction& share);

/// Load of the server that owns a hot bucket of keys. Rates are sums over all hosts.
struct owner_load {
    double slots = 1;
    /// Mean service time of a request in milliseconds. Above 0.
    double service_ms = 1;
    /// Requests per second for all keys of the server, and for its hottest bucket of keys.
    double total_per_s = 0;
    double hottest_per_s = 0;
    /// Mean number of requests that the server reported as waiting; negative if it reported none.
    double waiting = -1;
    /// Number of hosts that send requests to the server.
    int hosts = 1;
};

/// Requests per second that the server can run.
double sustainable_rate(const owner_load& load);

/// Limit on the requests of all hosts together for one bucket of keys.
struct rate_limit {
    double per_s = 0;
    time_point adapted_at;
};

/// Whether all keys of the server together get more requests than it can run, its hottest bucket a
/// large part of them and not hot by chance, and the hosts cannot bound its queue by themselves:
/// each may always have one request there.
bool needs_limit(const owner_load& load);

rate_limit make_rate_limit(const owner_load& load, time_point now);

/// Adapts the limit to the queue that the server reports. The service time is known only roughly,
/// as requests differ. Takes effect once in each adaptation interval; returns whether it did.
bool adapt(rate_limit& limit, const owner_load& load, time_point now);

/// Whether the limit is no longer needed.
bool is_unneeded(const rate_limit& limit, const owner_load& load);

/// Fraction of the requests for the bucket that hosts send, in (0, 1].
double fraction_to_send(const rate_limit& limit, const owner_load& load);

}  // namespace greengagechute::admission
