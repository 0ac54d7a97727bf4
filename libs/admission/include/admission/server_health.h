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

struct health_limits {
    /// Failures in a row after which a server is ejected.
    std::uint32_t failures_in_a_row = 3;
    /// Share of failures, of at least `min_samples` recent requests, that ejects a server.
    double failure_share = 0.5;
    std::uint32_t min_samples = 10;
    /// Length of the first ejection; each further one is longer by this, up to the longest.
    milliseconds ejection{5'000};
    milliseconds max_ejection{60'000};
    /// Own observations that are older than this give way to the server's report.
    milliseconds observation_age{3'000};
};

/// What the server says about itself, or the release note about it.
struct health_report {
    bool healthy = true;
    bool draining = false;
    time_point received;
};

/// What this host knows of one server of an undivided service.
struct server_health {
    server_id server;
    /// Cost of the link to the server's region; 0 in the own region.
    milliseconds link_cost{0};
    /// As last told by the server's dispatcher.
    microseconds predicted_wait{0};
    std::optional<health_report> report;
    std::uint32_t failures_in_a_row = 0;
    /// Recent requests and failures; they decay exponentially.
    double recent_requests = 0;
    double recent_failures = 0;
    std::optional<time_point> last_observed;
    /// Ejections without a lasting recovery in between.
    std::uint32_t ejections = 0;
    std::optional<time_point> ejected_until;
};

/// Records the result of a request to the server.
/// @param success  false if the server failed: connection lost, no answer in time, or status 5xx.
///                 A refusal for lack of room or a caller's fault is no failure.
void observe(server_health& health, const health_limits& limits, bool success, time_point now);

/// Whether the server looks bad: own observations first, its report if there are none.
bool is_unhealthy(const server_health& health, const health_limits& limits, time_point now);

struct selection_policy {
    /// Off is the baseline: bad servers stay in use.
    bool ejection = true;
};

/// Positions of the servers that may be chosen. Draining servers never are; bad ones are left out,
/// but at most a third of all; if all look bad, all stay.
std::vector<std::size_t> eligible_servers(std::span<const server_health> servers,
                                          const health_limits& limits,
                                          const selection_policy& policy, time_point now);

/// Chooses a server of an undivided service: the one with the lower predicted wait of two random
/// ones in the nearest region; of a farther region, if the predicted wait there plus the link cost
/// is lower.
/// Errors: `no_server`.
/// @return  position in `servers`
result<std::size_t> select_server(std::span<const server_health> servers,
                                  const health_limits& limits, const selection_policy& policy,
                                  std::mt19937_64& generator, time_point now);

}  // namespace greengagechute::admission
