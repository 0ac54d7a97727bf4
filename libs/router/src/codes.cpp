#include "router/codes.h"

#include "admission/errors.h"
#include "release/errors.h"
#include "router/errors.h"

#include <span>

namespace greengagechute::router {

namespace {

bool contains(std::span<const error_entry> table, int number) {
    for (const error_entry& entry : table) {
        if (entry.number == number) {
            return true;
        }
    }
    return false;
}

}  // namespace

std::error_code code_from_number(std::uint32_t number) {
    const int value = static_cast<int>(number);
    if (contains(error_table(), value)) {
        return make_error_code(static_cast<router_errc>(value));
    }
    if (contains(admission::error_table(), value)) {
        return make_error_code(static_cast<admission::admission_errc>(value));
    }
    if (contains(release::error_table(), value)) {
        return make_error_code(static_cast<release::release_errc>(value));
    }
    return make_error_code(router_errc::refused_by_upstream);
}

std::uint32_t number_of(std::error_code code) {
    return static_cast<std::uint32_t>(code.value());
}

}  // namespace greengagechute::router
