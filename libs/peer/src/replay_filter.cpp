#include "peer/replay_filter.h"

#include <algorithm>

namespace greengagechute::peer {

replay_filter::replay_filter(std::size_t most) : capacity(std::max<std::size_t>(most, 1)) {}

bool replay_filter::accept(const host_instance& sender, std::uint64_t sequence) {
    const auto found = this->last_sequences.find(sender);
    if (found != this->last_sequences.end()) {
        if (sequence <= found->second) {
            return false;
        }
        found->second = sequence;
        return true;
    }
    if (this->last_sequences.size() == this->capacity) {
        this->last_sequences.erase(this->order.front());
        this->order.pop_front();
    }
    this->last_sequences.emplace(sender, sequence);
    this->order.push_back(sender);
    return true;
}

}  // namespace greengagechute::peer
