#include "settings/errors.h"

#include <array>

namespace greengagechute::settings {

namespace {

constexpr std::array entries{
    error_entry{200, "unreadable_file", "the file cannot be read"},
    error_entry{201, "syntax_error",
                "the line is neither a section, a key with a value nor a comment"},
    error_entry{202, "unknown_section", "the section is unknown"},
    error_entry{203, "unknown_key", "the key is unknown in this section"},
    error_entry{204, "duplicate_key", "the key is given more than once"},
    error_entry{205, "missing_key", "a required key is missing"},
    error_entry{206, "invalid_value", "the value has the wrong form"},
    error_entry{207, "out_of_range", "the value is out of range"},
    error_entry{208, "contradiction", "the value contradicts another one"},
    error_entry{209, "line_too_long", "the line is too long"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(settings_errc code) {
    static const table_category category("settings", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::settings
