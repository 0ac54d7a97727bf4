#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/balancer.h"
#include "gateway/catalogue.h"
#include "gateway/crash_guard.h"
#include "gateway/directory.h"
#include "gateway/evacuations.h"
#include "gateway/key_limits.h"
#include "gateway/suspect_requests.h"
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

/// Names of the HTTP headers exchanged with callers and servers.
struct header_names {
    std::string request_id;
    /// Milliseconds until the deadline, in requests of callers and to servers.
    std::string deadline;
    /// Signature of a server's response; a response without it is treated as a failure.
    std::string signature;
    /// Id of the server that the request is meant for; any other server must reject it.
    std::string expected_server;
    /// Load of the server: "running,waiting,slots".
    std::string load;
    /// Id of the responding server if it is not the expected one.
    std::string server;
    /// Present if the server has not run the request.
    std::string not_run;
    /// Seconds, as a decimal fraction, after which a refused caller may retry, or for which a
    /// server that has refused a request wants no more.
    std::string retry_after;
    /// States that the responding server is leaving, unless its value is 0.
    std::string leaving;
    /// Key of a request to a divided service, that is one whose keys are partitioned among its
    /// servers.
    std::string key;
};

/// Retry budget of a service, shared by all hosts: within any `window` they may send at most
/// `ratio` times the number of first attempts, plus `slack`, as retries.
struct retry_budget_settings {
    double ratio = 0.2;
    double slack = 62;
    milliseconds window{10'000};
};

/// Allowance of requests to a cold server, lent to this host.
struct allowance_loan {
    ranges::server_instance server;
    double requests_per_s = 0;
    time_point until;
};

struct front_settings {
    balancer_settings balancer;
    retry_budget_settings retries;
    admission::quarantine_limits quarantine = default_quarantine;
    data_centre_id data_centre;
    std::map<data_centre_id, region_id> regions;
    /// Timeout for establishing a connection to a server; several round trips between regions.
    milliseconds connect_timeout{300};
    /// Deadline of requests that state none.
    milliseconds default_deadline{10'000};
    /// One-way network latency between this host and its callers. Twice this time is subtracted
    /// from the deadline that a caller states.
    milliseconds caller_latency{3};
};

/// Accepts callers' requests and forwards each to a server of its service: selects the route and
/// the server, queues requests that no server can take yet, and retries within the retry budget.
/// Runs on the thread of its event loop.
class front {
public:
    front(wire::event_loop& loop, wire::client& upstreams, telemetry::logger& log,
          telemetry::metrics& metrics, header_names names, front_settings settings,
          std::uint64_t seed);
    front(const front&) = delete;
    front& operator=(const front&) = delete;
    ~front();

    void set_catalogue(std::shared_ptr<const catalogue> content);
    /// Replaces the known servers.
    /// @param changed  earliest time at which the changes may have happened; a draining server is
    ///                 used for a limited time from then
    void set_servers(const directory& servers, time_point changed, time_point now);
    /// Replaces the owners of the key ranges of a divided service.
    void set_owners(const service_id& service, ranges::range_table owners);
    /// Replaces the limits of hot keys of all services. They hold for `max_limit_age` unless they
    /// are set again.
    void set_limits(const limits_update& update, time_point now);
    /// Replaces what is known of evacuated data centres.
    void set_evacuations(const evacuation_table& table, time_point now);
    /// Lends allowances of cold servers to this host, or extends the loans that it has.
    void add_loans(const std::vector<allowance_loan>& loans, time_point now);
    /// Sets the number of hosts that share the servers and the retry budget; at least 1 is used.
    void set_host_count(int hosts);

    /// Forwards the request, or rejects it at once: 503 without a configuration, 404 without a
    /// route, 400 if its key or deadline is invalid.
    void accept(const std::shared_ptr<wire::incoming>& request);

    /// Returns the keys requested since the last call, per divided service.
    std::map<service_id, std::vector<ranges::key_position>> take_keys();
    /// Returns the service times measured since the last call, per divided service and server.
    std::map<service_id, std::map<server_id, service_time_sample>> take_service_times();
    /// Returns the queues that owners of limited keys have reported since the last call.
    std::map<service_id, std::map<server_id, queue_sample>> take_queues();
    /// Returns the server instances found since the last call to have ended, because another server
    /// responds at their address.
    std::vector<ranges::server_instance> take_ended_servers();
    /// Returns the servers found since the last call to have ended while they ran requests.
    std::vector<request_loss> take_losses();
    /// Takes losses back that could not be reported.
    void return_losses(const std::vector<request_loss>& unreported);
    /// Returns the requests that a server has run to the end since the last call although others
    /// had ended under them.
    std::vector<request_fingerprint> take_cleared();
    /// Applies what the coordinator knows of requests under which servers have ended.
    void set_suspects(const suspects_update& update, time_point now);
    /// Returns the registered server instances that have stated in an answer that they are leaving.
    std::vector<ranges::server_instance> leaving_servers() const;
    /// Sets when `abort_open_requests` will be called because this process ends. Requests that
    /// could probably not be answered by then are refused from now on, so that callers can send
    /// them to another host.
    void set_end(time_point when, time_point now);
    /// Answers all open requests because this process ends: with 503 if the request has not run,
    /// with 504 if its outcome is unknown, or with the error response of an earlier attempt.
    /// Responses queued behind them on the same connection are then sent.
    void abort_open_requests(time_point now);
    /// Number of requests that are not yet answered.
    std::size_t open_requests() const;

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::gateway
