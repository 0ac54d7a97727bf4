#include "dispatch/server_choice.h"

#include <cmath>

namespace greengagechute::dispatch {

namespace {

/// Requests per slot that a server runs and queues without harm.
constexpr int max_outstanding_per_slot = 4;

}  // namespace

void weighted_pair::offer(std::size_t server, double weight, double draw) {
    // The first arrivals of Poisson processes with these rates are a weighted sample without
    // replacement.
    const entry offered{server, -std::log(draw) / weight};
    if (!this->earliest[0] || offered.arrival < this->earliest[0]->arrival) {
        this->earliest[1] = this->earliest[0];
        this->earliest[0] = offered;
    } else if (!this->earliest[1] || offered.arrival < this->earliest[1]->arrival) {
        this->earliest[1] = offered;
    }
}

std::array<std::optional<std::size_t>, 2> weighted_pair::drawn() const {
    std::array<std::optional<std::size_t>, 2> servers;
    for (std::size_t place = 0; place < servers.size(); ++place) {
        if (this->earliest[place]) {
            servers[place] = this->earliest[place]->server;
        }
    }
    return servers;
}

bool is_seldom_met(int hosts, int slots) {
    return hosts > max_outstanding_per_slot * slots;
}

}  // namespace greengagechute::dispatch
