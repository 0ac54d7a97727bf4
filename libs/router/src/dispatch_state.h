#pragma once

#include "router/dispatch_task.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagechute::router {

/// One forwarded request at the dispatcher.
struct dispatch_task::work_item {
    peer::forward_request message;
    /// Entry host that waits for the answer.
    std::string origin;
    time_point deadline;
    time_point arrived;
    time_point started;
    bool running = false;
    std::uint64_t fingerprint = 0;
    upstream::client::run_id run;
    bool head_sent = false;
    /// Head and parts of a small answer, sent together with its end.
    std::vector<peer::message> held_back;
    std::size_t held_back_bytes = 0;
    bool sent_directly = false;
    bool paused = false;
    std::uint32_t parts = 0;
    std::uint64_t bytes = 0;
    std::uint64_t without_credit = 0;
    /// Collected for resends of the same idempotency id, up to the bound of the records.
    admission::stored_response kept;
    bool keeps_answer = false;
};

/// A server that this host dispatches to.
struct dispatch_task::server_slot {
    release::upstream_definition definition;
    http::endpoint address;
    bool divided = false;
    ownership::dispatch_state authority;
    admission::server_queue queue;
    /// Present once the server has accepted the first grant of this dispatcher.
    std::optional<admission::idempotency_table> records;
    std::optional<admission::exported_table> imported;
    std::unordered_map<request_id, item_pointer> items;
    /// Requests queued or running, by partition.
    std::map<partition_id, std::size_t> work_of_partition;
    /// Fingerprints in flight when the connection to the server broke, with the time.
    std::vector<std::pair<std::uint64_t, time_point>> crash_suspects;
    ownership::boot_id boot;
    /// Addresses of the hosts that passed partitions, by the server that held them.
    std::map<server_id, std::string> hand_over_senders;
    std::size_t running = 0;
    bool handed_over = false;
    bool ended = false;
};

/// A server for which this host is the standby.
struct dispatch_task::standby_slot {
    server_id server;
    http::endpoint address;
    ownership::standby_state state;
    std::optional<admission::exported_table> imported;
    /// Last successful probe of the server.
    std::optional<time_point> reached_at;
};

}  // namespace greengagechute::router
