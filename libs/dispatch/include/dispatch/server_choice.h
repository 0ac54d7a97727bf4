#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace greengagechute::dispatch {

/// Two different servers drawn at random, in proportion to their weights; the one with the lower
/// cost is used for a request.
///
/// The load that this answers: hundreds of hosts place requests on servers of uneven speed, and
/// each meets a server too seldom to know its load. If all of them take the server that looks best,
/// they flood the same few quick ones; if they draw at random, slow servers get as much as quick
/// ones. Two servers are drawn, quick ones more often, so that hosts spread over all servers; the
/// better of the two then follows what the host knows of their load.
class weighted_pair {
public:
    /// Offers a server. Each must be offered once.
    /// @param weight  above 0
    /// @param draw    uniformly distributed in (0, 1]; independent of other draws
    void offer(std::size_t server, double weight, double draw);
    /// The servers drawn: none if none was offered, one if only one was.
    std::array<std::optional<std::size_t>, 2> drawn() const;

private:
    struct entry {
        std::size_t server = 0;
        double arrival = 0;
    };
    std::array<std::optional<entry>, 2> earliest;
};

/// Whether hosts meet a server too seldom to know its load: more of them send to it than it runs
/// and queues requests.
bool is_seldom_met(int hosts, int slots);

}  // namespace greengagechute::dispatch
