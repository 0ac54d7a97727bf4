#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagechute::membership {

inline constexpr std::size_t max_text_field = 128;

/// Parses without exceptions; the result is discarded if the text is malformed.
inline nlohmann::json parse_json(std::string_view text) {
    return nlohmann::json::parse(text, nullptr, false);
}

/// Whether `text` is 1 to 128 printable ASCII characters without blanks, as ids and addresses are.
inline bool is_name(std::string_view text) {
    if (text.empty() || text.size() > max_text_field) {
        return false;
    }
    for (const char character : text) {
        if (character <= ' ' || character > '~') {
            return false;
        }
    }
    return true;
}

/// Reads a name; sets `valid` to false if it is missing or malformed.
inline std::string read_name(const nlohmann::json& object, const char* field, bool& valid) {
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string()) {
        valid = false;
        return {};
    }
    std::string text = found->get<std::string>();
    valid = valid && is_name(text);
    return text;
}

/// Reads an unsigned number; sets `valid` to false if it is missing or of another type.
inline std::uint64_t read_number(const nlohmann::json& object, const char* field, bool& valid) {
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned()) {
        valid = false;
        return 0;
    }
    return found->get<std::uint64_t>();
}

}  // namespace greengagechute::membership
