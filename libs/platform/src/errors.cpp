#include "platform/errors.h"

#include <array>

namespace greengagechute::platform {

namespace {

constexpr std::array entries{
    error_entry{1000, "unavailable", "the platform did not answer; a write may have taken effect"},
    error_entry{1001, "timeout",
                "the platform did not answer in time; a write may have taken effect"},
    error_entry{1002, "not_found", "the platform has no such object"},
    error_entry{1003, "malformed_answer",
                "the answer of the platform is malformed; a write may have taken effect"},
    error_entry{1004, "refused",
                "the platform refused the request as invalid; nothing was written"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(platform_errc code) {
    static const table_category category("platform", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::platform
