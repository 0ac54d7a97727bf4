#pragma once

#include "base/ids.h"

#include <optional>
#include <set>
#include <vector>

namespace greengagechute::dispatch {

/// What decides whether a server of a divided service may own keys.
struct owner_facts {
    /// Share of the load that the server should get, relative to the other servers. Above 0.
    double weight = 1;
    /// Empty if it is not known.
    region_id region;
    /// It ends, is about to, or drains.
    bool leaving = false;
    /// Its data centre is evacuated.
    bool evacuated = false;
    /// It is cold and takes only an allowance of requests.
    bool cold = false;
};

/// Selects the servers that may own keys; one element for each server.
///
/// Leaving and evacuated servers own none. Owners lie where all routes of the service may go, as
/// long as one server there is left; otherwise anywhere, for the routes that may go anywhere. Cold
/// servers own none while the warm ones make up at least half of the weight: an owner gets the
/// requests for its keys from all hosts, which its allowance would not cover.
/// @param common  regions that all routes of the service allow; nullopt for all regions
std::vector<bool> select_owners(const std::vector<owner_facts>& servers,
                                const std::optional<std::set<region_id>>& common);

}  // namespace greengagechute::dispatch
