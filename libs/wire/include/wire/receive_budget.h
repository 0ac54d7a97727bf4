#pragma once

#include "wire/stream.h"

#include <cstddef>
#include <map>

namespace greengagechute::wire {

/// What a `receive_budget` says to a change.
enum class budget_result {
    granted,
    /// The peer would exceed its part.
    peer_exceeded,
    /// All peers together would exceed the budget.
    total_exceeded,
};

/// Memory for responses that are being received, shared by the clients of a process. No peer may
/// take more than a part of it, so that one faulty server does not fail the calls to the others.
class receive_budget {
public:
    static constexpr std::size_t default_bytes = 32U << 20U;
    /// Part of the budget that one peer may take, in percent.
    static constexpr std::size_t max_peer_percent = 60;

    /// @param total  bytes for all peers together
    explicit receive_budget(std::size_t total = default_bytes);

    /// Changes what is kept for one response of `peer` from `before` to `after` bytes.
    /// Nothing is changed unless it is granted.
    budget_result resize(const endpoint& peer, std::size_t before, std::size_t after);
    /// Bytes kept for all peers.
    std::size_t used() const { return this->sum; }

private:
    std::size_t total_bytes;
    std::size_t sum = 0;
    std::map<endpoint, std::size_t> by_peer;
};

}  // namespace greengagechute::wire
