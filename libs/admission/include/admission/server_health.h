#pragma once

#include "admission/errors.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace greengagechute::admission {

/// Thresholds of outlier ejection.
struct health_limits {
    /// Consecutive failures after which a server is ejected.
    std::uint32_t failures_in_a_row = 3;
    /// Ratio of failures to recent requests, of which there are at least `min_samples`, from which
    /// on a server is ejected.
    double failure_share = 0.5;
    std::uint32_t min_samples = 10;
    /// Duration of the first ejection. Each further one is longer by this, up to `max_ejection`.
    milliseconds ejection{5'000};
    milliseconds max_ejection{60'000};
    /// Maximum age at which the host's own observations take precedence over the server's report.
    milliseconds observation_age{3'000};
};

/// Health state reported by the server itself or by the release note.
struct health_report {
    bool healthy = true;
    bool draining = false;
    time_point received;
};

/// Health state and load of one server of an undivided service (one whose requests any of its
/// servers can run), as known to this host.
struct server_health {
    server_id server;
    /// Cost of the link to the server's region, expressed as extra wait; 0 in the own region.
    milliseconds link_cost{0};
    /// Queue wait last reported by the dispatcher of the server (the host that owns its queue).
    microseconds predicted_wait{0};
    std::optional<health_report> report;
    std::uint32_t failures_in_a_row = 0;
    /// Counts of recent requests and failures, with exponential decay.
    double recent_requests = 0;
    double recent_failures = 0;
    std::optional<time_point> last_observed;
    /// Consecutive ejections; reset once the server has stayed in use for `max_ejection`.
    std::uint32_t ejections = 0;
    std::optional<time_point> ejected_until;
};

/// Records the result of a request to the server.
/// @param success  false if the server failed: connection lost, response timeout or status 5xx. A
///                 refusal for lack of capacity or an error of the caller is not a failure.
void observe(server_health& health, const health_limits& limits, bool success, time_point now);

/// Whether the server is ejected or, without recent observations of this host, reports that it is
/// unhealthy.
bool is_unhealthy(const server_health& health, const health_limits& limits, time_point now);

struct selection_policy {
    /// If false, unhealthy servers stay in use; the baseline of benchmarks.
    bool ejection = true;
};

/// Indices of the servers that may receive requests. Draining servers are excluded. Unhealthy ones
/// are excluded up to a third of the others, the worst first; if all are unhealthy, none is.
std::vector<std::size_t> eligible_servers(std::span<const server_health> servers,
                                          const health_limits& limits,
                                          const selection_policy& policy, time_point now);

/// Selects a server by the power of two random choices: the one with the lower predicted wait of
/// two random servers in the nearest region, or of two in the other regions if predicted wait plus
/// link cost is lower there than at every server of the nearest region.
/// Errors: `no_server`.
/// @return  index in `servers`
result<std::size_t> select_server(std::span<const server_health> servers,
                                  const health_limits& limits, const selection_policy& policy,
                                  std::mt19937_64& generator, time_point now);

}  // namespace greengagechute::admission
