#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagechute::gateway {

/// Whether a request may run more than once.
enum class request_kind { safe, unsafe };

struct weighted_service {
    service_id service;
    double weight = 1;
};

/// Requests to one host name below one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    request_kind kind = request_kind::unsafe;
    /// Longest time that a request is kept waiting; 0 means no limit.
    milliseconds timeout{0};
    /// Time within which an answer has its full value.
    milliseconds target_latency{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Servers to which one request may be sent.
    int max_attempts = 1;
    std::vector<weighted_service> services;
};

struct service {
    service_id id;
    /// Each key has one owner among the servers.
    bool divided = false;
    /// Connections that one server accepts from all callers together.
    std::size_t max_connections = 0;
};

/// Limits on what callers may send.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 67'108'864;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// The configuration in force. Never changed once it is shared; a request keeps the one with which
/// it began.
struct catalogue {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<service_id, service> services;
    caller_limits limits;
    /// Index by host and prefix into `routes`; made by `index_routes`.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
};

void index_routes(catalogue& content);

/// The route of the longest prefix that begins the target's path; nullptr if there is none.
/// @param host  value of the Host header; a port is ignored
const route* find_route(const catalogue& content, std::string_view host, std::string_view target);

/// The service that receives a request, by weight.
/// @param draw  evenly distributed in [0, 1)
const service_id& choose_service(const route& chosen, double draw);

}  // namespace greengagechute::gateway
