#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/balancer.h"
#include "gateway/catalogue.h"
#include "gateway/directory.h"
#include "ranges/range_table.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "wire/client.h"
#include "wire/server.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace greengagechute::gateway {

/// Names of the headers that callers and servers use.
struct header_names {
    std::string request_id;
    /// Milliseconds that the caller waits.
    std::string deadline;
    /// Signature of a server's answer.
    std::string signature;
    /// Id of the only server that may run the request.
    std::string expected_server;
    /// Running and waiting requests and slots of the server.
    std::string load;
    /// Id of the server that answers, where it is not the expected one.
    std::string server;
    /// The server states that it has not run the request.
    std::string not_run;
    std::string retry_after;
    /// Key of a request to a divided service.
    std::string key;
};

/// Requests that all hosts together may send to the servers of a service beyond the first of each.
struct retry_allowance {
    /// Part of the first ones, in any `window`, and a number besides.
    double ratio = 0.2;
    double slack = 62;
    milliseconds window{10'000};
};

struct front_settings {
    balancer_settings balancer;
    retry_allowance retries;
    data_centre_id data_centre;
    std::map<data_centre_id, region_id> regions;
    /// Time to establish a connection: several round trips between regions.
    milliseconds connect_timeout{300};
    /// A caller that states no deadline is answered within this time.
    milliseconds default_deadline{10'000};
    /// Time that an answer takes to the caller.
    milliseconds travel_to_caller{3};
};

/// Accepts callers' requests and brings each to a server of its service.
class front {
public:
    front(wire::event_loop& loop, wire::client& upstreams, telemetry::logger& log,
          telemetry::metrics& numbers, header_names names, front_settings settings,
          std::uint64_t seed);
    front(const front&) = delete;
    front& operator=(const front&) = delete;
    ~front();

    void set_catalogue(std::shared_ptr<const catalogue> content);
    /// @param changed  earliest time at which what is new may have happened: a server that leaves
    ///                 serves for a limited time from then
    void set_servers(const directory& servers, time_point changed, time_point now);
    void set_owners(const service_id& service, ranges::range_table owners);
    /// Number of hosts that share the servers.
    void set_hosts(int hosts);

    void accept(const std::shared_ptr<wire::incoming>& request);

    /// Keys of requests since the last call, per service.
    std::map<service_id, std::vector<ranges::key_position>> take_keys();
    /// Service times of the servers of divided services since the last call.
    std::map<service_id, std::map<server_id, speed_sample>> take_speeds();
    /// Lives of servers that have certainly ended, found since the last call.
    std::vector<ranges::server_instance> take_ended();
    /// Ends all requests without an answer, since this process ends: 503 if it has not run, 504 if
    /// its outcome is unknown. Answers that wait behind them on their connection are sent.
    void end_open(time_point now);
    /// Requests that have no answer yet.
    std::size_t open_requests() const;

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::gateway
