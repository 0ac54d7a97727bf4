#include "coordinator_state.h"

#include <algorithm>

namespace greengagechute::gateway {

namespace {

/// Loans last several times as long.
constexpr milliseconds lending_interval{200};

}  // namespace

/// Empty if it is not known.
region_id coordinator::state::region_of(const data_centre_id& data_centre) const {
    const auto found = this->settings.regions.find(data_centre);
    return found == this->settings.regions.end() ? region_id() : found->second;
}

/// End of the time for which the server takes only its allowance of requests; the epoch if servers
/// of its service take any number. Other hosts learn of it later than this one, and take the server
/// for cold until as much later.
time_point coordinator::state::cold_until(const server_entry& entry) const {
    const auto configured = this->config->services.find(entry.service);
    if (configured == this->config->services.end() || configured->second.cold_requests_per_s <= 0) {
        return {};
    }
    const time_point until =
        gateway::cold_until(this->evacuations, entry.data_centre,
                            this->servers.cold_until(entry.life.id), configured->second.warmup);
    return until == time_point{} ? until : until + this->settings.relay_max_age;
}

/// Lends the allowances of the servers that are cold now to hosts that report.
void coordinator::state::lend_allowances(time_point now) {
    if (now - this->last_lending < lending_interval) {
        return;
    }
    this->last_lending = now;
    this->cold_servers.clear();
    for (const auto& [id, entry] : this->servers.servers()) {
        if (entry.draining || evacuated_since(this->evacuations, entry.data_centre) ||
            now >= this->cold_until(entry)) {
            continue;
        }
        this->cold_servers.push_back(
            {entry.life, entry.data_centre, this->region_of(entry.data_centre),
             this->config->services.at(entry.service).cold_requests_per_s});
    }
    if (this->cold_servers.empty() && this->loans.loans.empty()) {
        return;
    }
    std::vector<dispatch::borrower> hosts{{this->settings.host, this->settings.data_centre,
                                           this->region_of(this->settings.data_centre)}};
    for (const auto& [host, reported] : this->reports) {
        const auto place = this->host_data_centres.find(host);
        if (now - reported < report_max_age && place != this->host_data_centres.end()) {
            hosts.push_back({host, place->second, this->region_of(place->second)});
        }
    }
    dispatch::lend(this->loans, this->cold_servers, hosts, now);
    this->handlers.allowances_lent(this->allowances_of(this->settings.host, now), now);
}

std::vector<lent_allowance> coordinator::state::allowances_of(const host_id& host,
                                                              time_point now) const {
    std::vector<lent_allowance> lent;
    for (const dispatch::cold_server& server : this->cold_servers) {
        const auto until = dispatch::loan_end(this->loans, server.server, host);
        if (until && *until > now) {
            lent.push_back({server.server, server.requests_per_s,
                            std::chrono::floor<milliseconds>(*until - now)});
        }
    }
    return lent;
}

}  // namespace greengagechute::gateway
