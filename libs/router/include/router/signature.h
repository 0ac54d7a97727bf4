#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/types.h"

#include <string>
#include <string_view>

namespace greengagechute::router {

/// Orders whose time differs by more than this from the host's clock are refused.
inline constexpr milliseconds order_time_tolerance{30'000};

/// Value of `X-Signature` for an operator's order: hexadecimal HMAC-SHA256.
/// @param time  value of `X-Time`, milliseconds since 1970
std::string sign_order(std::string_view key, std::string_view method, std::string_view path,
                       std::string_view time, std::string_view body);

/// The operator's order with `X-Time` and `X-Signature`.
http::request sign_request(http::request order, std::string_view key, wall_time now);

/// Checks a signature and the age of the order.
/// Error: `router_errc::unauthorized`.
status check_order(std::string_view key, std::string_view method, std::string_view path,
                   std::string_view time, std::string_view body, std::string_view signature,
                   wall_time now);

}  // namespace greengagechute::router
