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

/// Settings of one host.
struct gateway_settings {
    host_id host;
    data_centre_id data_centre;
    std::map<data_centre_id, region_id> regions;
    /// Callers connect here.
    wire::endpoint front;
    /// Answers whether this host takes callers.
    wire::endpoint ready;
    /// Reports of other hosts, metrics and state.
    wire::endpoint peers;
    /// From the request to end to the forced end of the process.
    milliseconds grace{6'000};
    /// Longest lease that a server accepts.
    milliseconds longest_lease{10'000};
    retry_allowance retries;
    host_capacity capacity;
};

/// How the platform's rows are read.
struct row_format {
    std::string catalogue_table;
    std::string catalogue_row;
    std::string server_table;
    /// Empty if the text is no valid configuration; `reason` then says why.
    std::function<std::optional<catalogue>(std::string_view text, std::string& reason)>
        catalogue_of;
    /// Empty if the row names no server to use.
    std::function<std::optional<server_entry>(const stored_row& row, std::string& reason)>
        server_of;
    header_names headers;
};

/// All parts of one host: callers' side, servers, ownership and what is shared through the store.
class gateway {
public:
    gateway(wire::event_loop& loop, table_store& store, order_sender& orders,
            telemetry::logger& log, telemetry::metrics& numbers, const row_format& format,
            const gateway_settings& settings, std::uint64_t seed);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Errors: `wire_errc::listen_failed`.
    status start();
    /// Ends the process in order: no new callers, open requests are answered, the loop stops.
    void drain();

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::gateway
