#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagechute::soak {

/// What servers have said about themselves in answers that gateways got or passed on, and whether
/// later requests of these gateways respect it.
class statement_ledger {
public:
    /// A caller sends a request to a gateway.
    void asked(const std::string& request, const std::string& gateway, time_point when);
    /// A caller got an answer by which the server states that it is leaving.
    /// @param server  names one life of a server, as in all functions here
    void passed_on_leaving(const std::string& request, const std::string& server, time_point when);
    /// A server turned a request away and asked for a pause.
    void asked_pause(const std::string& request, const std::string& server, milliseconds pause,
                     time_point when);
    /// A request reached a server. Returns what it breaks; nothing if it breaks no promise.
    std::optional<std::string> reached(const std::string& request, const std::string& server,
                                       time_point when);
    /// A gateway was restarted or frozen: it need not remember.
    void excuse_gateway(const std::string& gateway);
    /// The path to a server was disturbed: requests may have been held up. Pauses are not judged.
    void excuse_server(const std::string& server);

private:
    struct origin {
        std::string gateway;
        time_point sent;
    };
    struct pause_window {
        time_point from;
        time_point until;
        int arrivals = 0;
    };
    /// A gateway and a life of a server.
    using link = std::pair<std::string, std::string>;

    std::map<std::string, origin> origins;
    std::map<link, time_point> leaving;
    std::map<link, std::vector<pause_window>> pauses;
};

}  // namespace greengagechute::soak
