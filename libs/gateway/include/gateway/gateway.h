#pragma once

#include "gateway/coordinator.h"
#include "gateway/front.h"
#include "gateway/store.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "wire/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::gateway {

/// Settings of one gateway host.
struct gateway_settings {
    host_id host;
    data_centre_id data_centre;
    std::map<data_centre_id, region_id> regions;
    /// Listens for callers.
    wire::endpoint front;
    /// Listens for readiness checks: 200 if this host accepts callers, else 503.
    wire::endpoint ready;
    /// Listens for reports of other hosts and for requests for the metrics.
    wire::endpoint peers;
    /// Time between the request to shut down and the forced termination of the process.
    milliseconds shutdown_grace{6'000};
    /// Maximum lease duration that a server accepts.
    milliseconds max_lease_duration{10'000};
    retry_budget_settings retries;
    host_capacity capacity;
    /// Bounds of what servers and other hosts may send to this one.
    wire::response_limits responses;
};

/// Memory for responses that are being received, on a host with `memory_bytes` of memory.
std::size_t response_memory(std::size_t memory_bytes);

/// Names of the platform's tables and headers, and parsers for the rows.
struct row_format {
    std::string catalogue_table;
    std::string catalogue_row;
    /// Rows of the catalogue's table with this prefix name data centres to which the operator wants
    /// nothing sent while they are there. Empty if there are none.
    std::string evacuation_prefix;
    std::string server_table;
    /// Returns nullopt if the text is not a valid configuration, and describes the error in
    /// `reason`.
    std::function<std::optional<catalogue>(std::string_view text, std::string& reason)>
        parse_catalogue;
    /// Returns nullopt if the row does not describe a usable server, and the cause in `reason`.
    std::function<std::optional<server_entry>(const stored_row& row, std::string& reason)>
        parse_server_entry;
    header_names headers;
};

/// One gateway host: forwards callers' requests to servers, follows the server directory and the
/// configuration in the store, and takes part in coordinating the ownership of key ranges.
class gateway {
public:
    gateway(wire::event_loop& loop, table_store& store, order_sender& orders,
            telemetry::logger& log, telemetry::metrics& metrics, const row_format& format,
            const gateway_settings& settings, std::uint64_t seed);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Opens the listeners and starts to follow the store. Errors: `wire_errc::listen_failed`.
    status start();
    /// Shuts down gracefully: reports not ready, answers the open requests, then stops the event
    /// loop, at the latest shortly before the end of `shutdown_grace`. Further calls have no
    /// effect.
    void drain();

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::gateway
