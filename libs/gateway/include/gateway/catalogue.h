#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "dispatch/eligibility.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagechute::gateway {

/// Whether a request may be executed more than once.
enum class request_kind { safe, unsafe };

/// Service that receives a share of a route's requests in proportion to `weight`.
struct weighted_service {
    service_id service;
    double weight = 1;
};

/// Rules for requests to a host name whose path starts with a prefix.
struct route {
    std::string name;
    std::string host;
    /// Ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::unsafe;
    /// Longest time until a request is answered; 0 means no limit.
    milliseconds timeout{0};
    /// Time within which an answer has its full value.
    milliseconds target_latency{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Number of times that one request may be sent to a server, including the first.
    int max_attempts = 1;
    std::vector<weighted_service> services;
    /// Regions in which its requests may run; empty for all.
    dispatch::region_list allowed_regions;
};

struct service {
    service_id id;
    /// Sharded by key: each key is owned by one of the servers.
    bool divided = false;
    /// Number of connections that one server accepts in total.
    std::size_t max_connections = 0;
    /// Requests per second that a cold server takes from all hosts together; 0 if it takes any
    /// number.
    double cold_requests_per_s = 0;
    /// Time for which a server is cold after a start.
    milliseconds warmup{0};
};

/// Limits on what callers may send.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 67'108'864;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// Active configuration of routes and services. Immutable once shared; a request uses the one that
/// was active when it arrived.
struct catalogue {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<service_id, service> services;
    caller_limits limits;
    /// Index into `routes` by lower-case host and prefix; built by `index_routes`.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
};

/// Rebuilds `by_host`; required after `routes` has changed.
void index_routes(catalogue& content);

/// Regions in which the requests of all routes of a service may run; nullopt for all regions.
std::optional<std::set<region_id>> common_regions(const catalogue& content,
                                                  const service_id& service);

/// Finds the route with the longest prefix of the target's path; nullptr if there is none.
/// @param host  value of the Host header; a port is ignored
const route* find_route(const catalogue& content, std::string_view host, std::string_view target);

/// Chooses the service for a request at random, in proportion to the weights. `chosen` must have at
/// least one service.
/// @param draw  uniformly distributed in [0, 1)
const service_id& choose_service(const route& chosen, double draw);

}  // namespace greengagechute::gateway
