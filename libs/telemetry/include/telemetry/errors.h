#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::telemetry {

enum class telemetry_errc {
    log_file_failed = 250,
    invalid_metric = 251,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(telemetry_errc code);

}  // namespace greengagechute::telemetry

template <>
struct std::is_error_code_enum<greengagechute::telemetry::telemetry_errc> : std::true_type {};
