#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace greengagechute::peer {

/// Accepts each sequence number of a sender's incarnation at most once, in increasing order.
///
/// Remembers at most `capacity` incarnations and forgets the one that was first seen the longest
/// time ago.
class replay_filter {
public:
    explicit replay_filter(std::size_t capacity);

    /// Whether the message is new. Numbers that are not above the last accepted one are refused.
    bool accept(const host_instance& sender, std::uint64_t sequence);

    std::size_t size() const { return this->last_sequences.size(); }

private:
    struct instance_hash {
        std::size_t operator()(const host_instance& sender) const noexcept {
            // Incarnations are random, so that they spread the entries by themselves.
            return static_cast<std::size_t>(sender.instance.value());
        }
    };

    std::size_t capacity;
    std::unordered_map<host_instance, std::uint64_t, instance_hash> last_sequences;
    std::deque<host_instance> order;
};

}  // namespace greengagechute::peer
