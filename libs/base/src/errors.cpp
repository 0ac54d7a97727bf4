#include "base/errors.h"

#include <array>

namespace greengagechute {

namespace {

constexpr std::array entries{
    error_entry{100, "invalid_uuid", "the text is not a UUID"},
    error_entry{101, "not_a_version_7_uuid", "the UUID is not of version 7"},
};

}  // namespace

table_category::table_category(const char* category, std::span<const error_entry> table)
    : category_name(category), entries(table) {}

const char* table_category::name() const noexcept {
    return this->category_name;
}

std::string table_category::message(int number) const {
    for (const error_entry& entry : this->entries) {
        if (entry.number == number) {
            return std::string(entry.text);
        }
    }
    return "unknown error " + std::to_string(number);
}

std::span<const error_entry> base_error_table() {
    return entries;
}

std::error_code make_error_code(base_errc code) {
    static const table_category category("base", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute
