#pragma once

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace greengagechute {

/// One numbered error code with its stable name and its text.
struct error_entry {
    int number;
    std::string_view name;
    std::string_view text;
};

/// An error category whose messages come from a table of entries.
class table_category : public std::error_category {
public:
    table_category(const char* category_name, std::span<const error_entry> entries);

    const char* name() const noexcept override;
    std::string message(int number) const override;

private:
    const char* category_name;
    std::span<const error_entry> entries;
};

/// Codes of library base.
enum class base_errc {
    invalid_uuid = 100,
    not_a_version_7_uuid = 101,
};

/// All codes of library base.
std::span<const error_entry> base_error_table();
std::error_code make_error_code(base_errc code);

}  // namespace greengagechute

template <>
struct std::is_error_code_enum<greengagechute::base_errc> : std::true_type {};
