#include "wire/receive_budget.h"

namespace greengagechute::wire {

namespace {

constexpr std::size_t percent = 100;

}  // namespace

receive_budget::receive_budget(std::size_t total) : total_bytes(total) {}

budget_result receive_budget::resize(const endpoint& peer, std::size_t before, std::size_t after) {
    if (before == after) {
        return budget_result::granted;
    }
    const auto known = this->by_peer.find(peer);
    const std::size_t of_peer = (known == this->by_peer.end() ? 0 : known->second) - before + after;
    const std::size_t sum_after = this->sum - before + after;
    if (after > before && of_peer > this->total_bytes / percent * max_peer_percent) {
        return budget_result::peer_exceeded;
    }
    if (after > before && sum_after > this->total_bytes) {
        return budget_result::total_exceeded;
    }
    this->sum = sum_after;
    if (of_peer == 0) {
        this->by_peer.erase(peer);
    } else {
        this->by_peer[peer] = of_peer;
    }
    return budget_result::granted;
}

}  // namespace greengagechute::wire
