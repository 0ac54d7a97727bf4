#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <string>

namespace greengagechute::soak {

/// Requests that end each server that runs them: how often gateways send one on once it has ended
/// three servers.
class crashing_requests {
public:
    /// Whether a server that begins to run the request ends.
    static bool crashes(const std::string& target);

    /// A server ended while it ran the request.
    void server_ended(const std::string& target, time_point when);
    /// The request reached a server. Returns what it breaks; nothing if it breaks no promise.
    /// @param in_touch  the gateway that sent it has not been disturbed lately
    std::optional<std::string> reached(const std::string& target, bool in_touch, time_point when);
    /// One line on each request: ends and arrivals.
    std::string summary() const;

private:
    struct record {
        int ends = 0;
        int arrivals = 0;
        /// Arrivals that count against the gateways.
        int late_arrivals = 0;
        time_point third_end;
    };

    std::map<std::string, record> requests;
};

}  // namespace greengagechute::soak
