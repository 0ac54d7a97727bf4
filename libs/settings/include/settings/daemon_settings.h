#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagechute::settings {

/// A numeric IP address and a TCP port.
struct socket_address {
    /// IPv4 or IPv6 address without brackets.
    std::string ip;
    std::uint16_t port = 0;

    /// `ip:port`, or `[ip]:port` for IPv6.
    std::string text() const;
    bool is_loopback() const;

    friend bool operator==(const socket_address&, const socket_address&) = default;
};

struct host_settings {
    host_id name;
    region_id region;
    data_centre_id data_centre;
    socket_address caller_listen;
    socket_address admin_listen;
    socket_address peer_listen;
};

struct platform_settings {
    socket_address endpoint;
    milliseconds timeout{0};
};

struct peer_settings {
    /// Shared key of the messages between daemons. Empty only if `allow_plaintext_on_loopback` is
    /// set.
    std::string key;
    /// Messages without a key are accepted if every own and seed address is on loopback.
    bool allow_plaintext_on_loopback = false;
    std::vector<socket_address> seeds;
};

struct operator_settings {
    /// Key of the signatures of operators' orders.
    std::string key;
};

struct limit_settings {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    /// Answers up to this size are buffered; longer ones are streamed.
    std::size_t buffered_answer_bytes = 0;
    std::size_t caller_connections = 0;
    /// Deadline of requests without `X-Deadline-Ms`.
    milliseconds default_deadline{0};
    milliseconds max_deadline{0};
};

/// Sections 4 and 5 of the design define these times.
struct timing_settings {
    milliseconds grant_length{0};
    milliseconds renew_period{0};
    milliseconds suspect_after{0};
    milliseconds watch_period{0};
    milliseconds watch_lost_after{0};
    milliseconds heartbeat{0};
    milliseconds standing{0};
    milliseconds removal{0};
    milliseconds term{0};
    milliseconds drain_delay{0};
};

enum class queue_order {
    /// Shortest expected work first, with ageing.
    shortest_expected,
    /// Order of arrival: the baseline.
    arrival,
};

/// Chooses between each decision and its baseline; `false` is the baseline.
struct policy_settings {
    queue_order order = queue_order::shortest_expected;
    bool long_work_cap = true;
    bool fair_shares = true;
    bool admission_by_wait = true;
    bool retry_budget = true;
    bool slow_start = true;
    bool shared_reads = true;
    bool ejection = true;
};

enum class log_level { debug, info, warning, error };

struct log_settings {
    log_level level = log_level::info;
    /// Directory of the log file; empty for standard error.
    std::string directory;
};

/// All settings of a daemon, validated.
struct daemon_settings {
    host_settings host;
    platform_settings platform;
    peer_settings peers;
    operator_settings operators;
    limit_settings limits;
    timing_settings timing;
    policy_settings policy;
    log_settings log;
};

}  // namespace greengagechute::settings
