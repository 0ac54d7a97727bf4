#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/result.h"
#include "base/time.h"
#include "http/types.h"
#include "release/catalogue.h"
#include "router/routing_view.h"

#include <cstdint>
#include <optional>
#include <string>

/// The stages of a request at the entry host, as filters with typed input and output.
namespace greengagechute::router {

struct request_limits {
    milliseconds default_deadline{10'000};
    milliseconds max_deadline{600'000};
};

/// Largest length of `X-Caller`, `X-Key` and `X-Work-Kind`, in bytes.
inline constexpr std::size_t max_name_header_bytes = 256;

/// Output of the parse stage: the request in the terms of the caller interface.
struct parsed_request {
    service_id service;
    /// Path and query for the upstream, beginning with `/`.
    std::string target;
    std::string key;
    caller_id caller;
    std::string work_kind;
    std::string idempotency_key;
    std::string method;
    std::optional<milliseconds> deadline;
    http::header_list headers;
    std::string body;
};

/// Reads the caller interface.
/// Errors: `invalid_path`, `invalid_deadline`, `missing_key` (too long), `invalid_caller`.
result<parsed_request> parse_request(http::request message, const request_limits& limits);

/// Output of the classify stage.
struct classified_request {
    parsed_request request;
    const release::service_definition* service = nullptr;
    bool idempotent = false;
    time_point deadline;
};

/// Finds the service and the kind of work.
/// Errors: `unknown_service`, `missing_key`, `missing_idempotency_key`, `unknown_work_kind`,
/// `key_withdrawn`, `body_too_large`.
result<classified_request> classify_request(parsed_request request,
                                            const release::catalogue& catalogue,
                                            const request_limits& limits, time_point now);

/// Output of the locate stage for a divided service.
struct request_location {
    server_id server;
    placement::server_index index = placement::no_server;
    partition_id partition;
    map_version map;
    dispatcher_address dispatcher;
};

/// Finds the owner of the key and its dispatcher.
/// Error: `service_not_ready`.
result<request_location> locate_request(const routing_view& view,
                                        const classified_request& request);

/// HTTP status of a response without an answer of the upstream.
int status_of(outcome state, std::error_code code);

}  // namespace greengagechute::router
