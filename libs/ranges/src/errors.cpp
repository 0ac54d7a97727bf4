#include "ranges/errors.h"

#include <array>

namespace greengagechute::ranges {

namespace {

constexpr std::array entries{
    error_entry{1400, "malformed_table", "the stored row is no table of key ranges"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(ranges_errc code) {
    static const table_category category("ranges", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::ranges
