#include "upstream/errors.h"

#include <array>

namespace greengagechute::upstream {

namespace {

constexpr std::array entries{
    error_entry{850, "malformed_message", "a grant or report cannot be read"},
    error_entry{851, "unexpected_status", "the server answered an order with an unexpected status"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(upstream_errc code) {
    static const table_category category("upstream", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::upstream
