#include "admission/server_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace greengagechute::admission {

namespace {

/// Time constant of the exponential decay of observations.
constexpr std::chrono::duration<double> decay_time{10.0};
/// At most one in three servers is excluded as unhealthy.
constexpr std::size_t ejection_divisor = 3;

void decay(server_health& health, time_point now) {
    if (!health.last_observed || now <= *health.last_observed) {
        return;
    }
    const double factor = std::exp(-((now - *health.last_observed) / decay_time));
    health.recent_requests *= factor;
    health.recent_failures *= factor;
}

bool is_ejected(const server_health& health, time_point now) {
    return health.ejected_until && now < *health.ejected_until;
}

bool exceeds_failure_limits(const server_health& health, const health_limits& limits) {
    const bool in_a_row = health.failures_in_a_row >= limits.failures_in_a_row;
    const bool often = health.recent_requests >= limits.min_samples &&
                       health.recent_failures >= limits.failure_share * health.recent_requests;
    return in_a_row || often;
}

void eject(server_health& health, const health_limits& limits, time_point now) {
    ++health.ejections;
    const milliseconds length = std::min(
        limits.ejection * static_cast<std::int64_t>(health.ejections), limits.max_ejection);
    health.ejected_until = now + length;
    // Observations from before the ejection must not eject the server again when it returns.
    health.failures_in_a_row = 0;
    health.recent_requests = 0;
    health.recent_failures = 0;
}

void reset_ejections(server_health& health, const health_limits& limits, time_point now) {
    if (health.ejected_until && now >= *health.ejected_until + limits.max_ejection) {
        health.ejections = 0;
        health.ejected_until.reset();
    }
}

bool is_draining(const server_health& health) {
    return health.report && health.report->draining;
}

/// The unhealthy servers among the candidates, the worst first.
std::vector<std::size_t> unhealthy_servers(std::span<const server_health> servers,
                                           const std::vector<std::size_t>& candidates,
                                           const health_limits& limits, time_point now) {
    std::vector<std::size_t> unhealthy;
    for (const std::size_t index : candidates) {
        if (is_unhealthy(servers[index], limits, now)) {
            unhealthy.push_back(index);
        }
    }
    std::stable_sort(unhealthy.begin(), unhealthy.end(),
                     [&](std::size_t first, std::size_t second) {
                         // Ejections are observations of this host and take precedence over
                         // reports.
                         const bool first_ejected = is_ejected(servers[first], now);
                         const bool second_ejected = is_ejected(servers[second], now);
                         if (first_ejected != second_ejected) {
                             return first_ejected;
                         }
                         return servers[first].ejections > servers[second].ejections;
                     });
    return unhealthy;
}

std::size_t random_index(std::size_t count, std::mt19937_64& generator) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(generator);
}

/// The one with the lower predicted wait of two random candidates.
std::size_t better_of_two(std::span<const server_health> servers,
                          const std::vector<std::size_t>& candidates, std::mt19937_64& generator) {
    const std::size_t count = candidates.size();
    const std::size_t first = random_index(count, generator);
    if (count == 1) {
        return candidates[first];
    }
    const std::size_t other = random_index(count - 1, generator);
    const std::size_t second = other < first ? other : other + 1;
    const auto first_wait = servers[candidates[first]].predicted_wait;
    const auto second_wait = servers[candidates[second]].predicted_wait;
    return second_wait < first_wait ? candidates[second] : candidates[first];
}

/// Indices of the servers with the least link cost and of the others.
struct servers_by_distance {
    std::vector<std::size_t> nearest;
    std::vector<std::size_t> farther;
};

servers_by_distance split_by_distance(std::span<const server_health> servers,
                                      const std::vector<std::size_t>& candidates) {
    milliseconds least = milliseconds::max();
    for (const std::size_t index : candidates) {
        least = std::min(least, servers[index].link_cost);
    }
    servers_by_distance split;
    for (const std::size_t index : candidates) {
        const bool is_near = servers[index].link_cost == least;
        (is_near ? split.nearest : split.farther).push_back(index);
    }
    return split;
}

/// The least sum of link cost and predicted wait.
microseconds min_cost(std::span<const server_health> servers,
                      const std::vector<std::size_t>& candidates) {
    microseconds least = microseconds::max();
    for (const std::size_t index : candidates) {
        least = std::min(least, servers[index].link_cost + servers[index].predicted_wait);
    }
    return least;
}

}  // namespace

void observe(server_health& health, const health_limits& limits, bool success, time_point now) {
    decay(health, now);
    reset_ejections(health, limits, now);
    health.last_observed = now;
    health.recent_requests += 1;
    if (success) {
        health.failures_in_a_row = 0;
        return;
    }
    health.recent_failures += 1;
    ++health.failures_in_a_row;
    // Requests that were sent before an ejection may fail during it.
    if (!is_ejected(health, now) && exceeds_failure_limits(health, limits)) {
        eject(health, limits, now);
    }
}

bool is_unhealthy(const server_health& health, const health_limits& limits, time_point now) {
    if (is_ejected(health, now)) {
        return true;
    }
    const bool has_observation =
        health.last_observed && now - *health.last_observed < limits.observation_age;
    if (has_observation) {
        return false;
    }
    return health.report && !health.report->healthy;
}

std::vector<std::size_t> eligible_servers(std::span<const server_health> servers,
                                          const health_limits& limits,
                                          const selection_policy& policy, time_point now) {
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        if (!is_draining(servers[index])) {
            candidates.push_back(index);
        }
    }
    if (!policy.ejection) {
        return candidates;
    }
    std::vector<std::size_t> unhealthy = unhealthy_servers(servers, candidates, limits, now);
    if (unhealthy.size() == candidates.size()) {
        return candidates;
    }
    unhealthy.resize(std::min(unhealthy.size(), candidates.size() / ejection_divisor));
    std::erase_if(candidates, [&unhealthy](std::size_t index) {
        return std::find(unhealthy.begin(), unhealthy.end(), index) != unhealthy.end();
    });
    return candidates;
}

result<std::size_t> select_server(std::span<const server_health> servers,
                                  const health_limits& limits, const selection_policy& policy,
                                  std::mt19937_64& generator, time_point now) {
    const std::vector<std::size_t> candidates = eligible_servers(servers, limits, policy, now);
    if (candidates.empty()) {
        return make_error_code(admission_errc::no_server);
    }
    const servers_by_distance split = split_by_distance(servers, candidates);
    if (split.farther.empty()) {
        return better_of_two(servers, split.nearest, generator);
    }
    const std::size_t far = better_of_two(servers, split.farther, generator);
    const microseconds far_cost = servers[far].link_cost + servers[far].predicted_wait;
    // Compares with all near servers, not just two: traffic between regions is billed.
    if (min_cost(servers, split.nearest) > far_cost) {
        return far;
    }
    return better_of_two(servers, split.nearest, generator);
}

}  // namespace greengagechute::admission
