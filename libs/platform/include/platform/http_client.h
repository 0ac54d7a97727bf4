#pragma once

#include "base/time.h"
#include "http/client.h"
#include "http/types.h"
#include "platform/client.h"

#include <cstddef>
#include <memory>

namespace greengagechute::platform {

struct http_client_settings {
    http::endpoint platform;
    /// Time allowed for a whole call.
    milliseconds timeout{2'000};
    /// Largest answer, in bytes. A larger one is `malformed_answer`.
    std::size_t answer_bytes = 16UL * 1024 * 1024;
};

/// The platform's interface over HTTP/1.1 with JSON.
///
/// No call is retried. Calls that are in progress when the client is destroyed are cancelled; their
/// callbacks do not run.
/// @param exchanges  must live longer than the returned client
std::unique_ptr<client> make_http_client(http::client& exchanges,
                                         const http_client_settings& settings);

}  // namespace greengagechute::platform
