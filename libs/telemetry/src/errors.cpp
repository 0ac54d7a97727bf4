#include "telemetry/errors.h"

#include <array>

namespace greengagechute::telemetry {

namespace {

constexpr std::array entries{
    error_entry{250, "log_file_failed", "the log file cannot be opened"},
    error_entry{251, "invalid_metric",
                "the metric is invalid, has another type or exceeds the bound"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(telemetry_errc code) {
    static const table_category category("telemetry", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::telemetry
