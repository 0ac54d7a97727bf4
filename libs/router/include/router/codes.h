#pragma once

#include <cstdint>
#include <system_error>

namespace greengagechute::router {

/// The error code with that number, as carried in messages between daemons. A number that is not
/// known gives `router_errc::refused_by_upstream`.
std::error_code code_from_number(std::uint32_t number);

/// The number of a code in messages and headers.
std::uint32_t number_of(std::error_code code);

}  // namespace greengagechute::router
