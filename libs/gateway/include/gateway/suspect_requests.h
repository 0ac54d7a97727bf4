#pragma once

#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "ranges/range_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::gateway {

/// A server instance ended while it ran a request.
struct request_loss {
    request_fingerprint content;
    ranges::server_instance server;
};

/// A request under which several servers have ended.
struct suspect_request {
    request_fingerprint content;
    std::uint32_t losses = 0;
    /// Time until the request may be tried again, or until too few losses are forgotten.
    milliseconds remaining{0};
};

/// What the coordinator tells the other hosts about suspect requests.
struct suspects_update {
    /// Raised with each change; above 0.
    std::uint64_t version = 0;
    std::vector<suspect_request> requests;
    /// Requests that a server has run to the end lately: their losses no longer count.
    std::vector<request_fingerprint> cleared;
};

/// Encodes requests as the row of the store from which a coordinator that knows nothing learns
/// them.
/// @param now  wall clock, which tells the next coordinator how much of the time has passed
std::string encode_row(const std::vector<suspect_request>& requests, wall_time now);
/// Requests of a row whose time has not passed; empty if the row is malformed.
std::optional<std::vector<suspect_request>> decode_row(std::string_view text, wall_time now);

}  // namespace greengagechute::gateway
