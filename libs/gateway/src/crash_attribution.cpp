#include "gateway/crash_attribution.h"

#include <algorithm>
#include <set>
#include <utility>

namespace greengagechute::gateway {

namespace {

void forget_old(crash_attribution& state, time_point now) {
    while (!state.interrupted.empty() &&
           (now - state.interrupted.front().when > state.settings.memory ||
            state.interrupted.size() > state.settings.max_requests)) {
        state.interrupted.pop_front();
    }
}

/// Whether connections to so many servers ended at about that time that their path is the cause.
bool is_cut(const crash_attribution& state, time_point when) {
    std::set<ranges::server_instance> servers;
    for (const interrupted_request& other : state.interrupted) {
        if (other.how == interruption::closed &&
            std::chrono::abs(other.when - when) <= state.settings.cut_window) {
            servers.insert(other.server);
        }
    }
    return servers.size() >= state.settings.servers_of_cut;
}

}  // namespace

void record_interruption(crash_attribution& state, const interrupted_request& request) {
    state.interrupted.push_back(request);
    forget_old(state, request.when);
}

std::vector<request_fingerprint> attribute_end(crash_attribution& state,
                                               const ranges::server_instance& server,
                                               end_evidence evidence, time_point now) {
    forget_old(state, now);
    std::set<request_fingerprint> explained;
    for (const interrupted_request& request : state.interrupted) {
        const bool explains = evidence == end_evidence::replaced ||
                              (request.how == interruption::closed && !is_cut(state, request.when));
        if (request.server == server && explains) {
            explained.insert(request.content);
        }
    }
    std::erase_if(state.interrupted, [&](const interrupted_request& request) {
        return request.server == server && explained.contains(request.content);
    });
    return {explained.begin(), explained.end()};
}

void dismiss(crash_attribution& state, const ranges::server_instance& server) {
    std::erase_if(state.interrupted, [&server](const interrupted_request& request) {
        return request.server == server && request.how == interruption::closed;
    });
}

std::size_t unexplained_interruptions(const crash_attribution& state, request_fingerprint content,
                                      time_point now) {
    std::set<ranges::server_instance> servers;
    for (const interrupted_request& request : state.interrupted) {
        if (request.content == content && request.how == interruption::closed &&
            now - request.when <= state.settings.memory) {
            servers.insert(request.server);
        }
    }
    return servers.size();
}

}  // namespace greengagechute::gateway
