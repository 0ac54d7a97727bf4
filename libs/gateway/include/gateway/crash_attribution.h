#pragma once

#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "ranges/range_table.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace greengagechute::gateway {

/// How a request at a server was interrupted.
enum class interruption {
    /// Its connection ended before the answer.
    closed,
    /// Its deadline passed. Servers are slow, frozen and cut off more often than they crash
    /// silently.
    unanswered,
};

struct interrupted_request {
    request_fingerprint content;
    ranges::server_instance server;
    time_point when;
    interruption how = interruption::closed;
};

/// What shows that a server instance has ended.
enum class end_evidence {
    /// It refuses connections, or its machine does not answer. So do an overloaded server and a
    /// path
    /// that is cut. Explains closed connections only.
    unreachable,
    /// Another instance has its id or its address.
    replaced,
};

struct attribution_settings {
    /// Time within which the end of a server explains an interrupted request.
    milliseconds memory{10'000};
    /// If connections to this many servers end within `cut_window`, the network is taken to be cut,
    /// and refused connections show nothing.
    std::size_t servers_of_cut = 4;
    milliseconds cut_window{200};
    /// Maximum number of remembered requests.
    std::size_t max_requests = 1'024;
};

/// Decides which requests were under way at a server that has ended, and so may have crashed it.
/// Resets, freezes, cuts and the planned end of a server are not to count.
struct crash_attribution {
    attribution_settings settings;
    /// Requests whose interruption is not explained yet, oldest first.
    std::deque<interrupted_request> interrupted;
};

void record_interruption(crash_attribution& state, const interrupted_request& request);

/// Takes out the requests that the end of a server explains.
/// @return their contents, each once
std::vector<request_fingerprint> attribute_end(crash_attribution& state,
                                               const ranges::server_instance& server,
                                               end_evidence evidence, time_point now);

/// Forgets the closed connections to a server that takes new ones: it has not ended.
void dismiss(crash_attribution& state, const ranges::server_instance& server);

/// Number of servers at which requests with this content were interrupted and which may have ended.
std::size_t unexplained_interruptions(const crash_attribution& state, request_fingerprint content,
                                      time_point now);

}  // namespace greengagechute::gateway
