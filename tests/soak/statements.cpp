#include "statements.h"

#include <string_view>

namespace greengagechute::soak {

namespace {

/// `drainS` of the users.
constexpr milliseconds drain_bound{2'000};
/// Time after a server asked for a pause in which requests may still be on their way.
constexpr milliseconds pause_slack{500};
/// Requests that may reach a server within a pause.
constexpr int max_in_pause = 2;

}  // namespace

void statement_ledger::asked(const std::string& request, const std::string& gateway,
                             time_point when) {
    this->origins[request] = {gateway, when};
}

void statement_ledger::passed_on_leaving(const std::string& request, const std::string& server,
                                         time_point when) {
    const auto found = this->origins.find(request);
    if (found != this->origins.end()) {
        this->leaving.try_emplace({found->second.gateway, server}, when);
    }
}

void statement_ledger::asked_pause(const std::string& request, const std::string& server,
                                   milliseconds pause, time_point when) {
    const auto found = this->origins.find(request);
    if (found != this->origins.end() && pause > pause_slack) {
        this->pauses[{found->second.gateway, server}].push_back({when + pause_slack, when + pause});
    }
}

std::optional<std::string> statement_ledger::reached(const std::string& request,
                                                     const std::string& server, time_point when) {
    const auto found = this->origins.find(request);
    if (found == this->origins.end()) {
        return std::nullopt;
    }
    const link used{found->second.gateway, server};
    const auto violation = [&request, &used](std::string_view cause) {
        std::string text = "request ";
        text.append(request).append(" of ").append(used.first).append(" reached ");
        text.append(used.second).append(cause);
        return text;
    };
    const auto left = this->leaving.find(used);
    if (left != this->leaving.end() && found->second.sent > left->second + drain_bound) {
        return violation(" that had said it was leaving");
    }
    const auto paused = this->pauses.find(used);
    if (paused == this->pauses.end()) {
        return std::nullopt;
    }
    for (pause_window& window : paused->second) {
        if (window.from <= when && when <= window.until && ++window.arrivals > max_in_pause) {
            return violation(" in the pause that it had asked for");
        }
    }
    return std::nullopt;
}

void statement_ledger::excuse_gateway(const std::string& gateway) {
    std::erase_if(this->leaving,
                  [&gateway](const auto& entry) { return entry.first.first == gateway; });
    std::erase_if(this->pauses,
                  [&gateway](const auto& entry) { return entry.first.first == gateway; });
}

void statement_ledger::excuse_server(const std::string& server) {
    std::erase_if(this->pauses,
                  [&server](const auto& entry) { return entry.first.second == server; });
}

}  // namespace greengagechute::soak
