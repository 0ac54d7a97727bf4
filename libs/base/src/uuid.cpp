#include "base/uuid.h"

#include "base/errors.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagechute {

namespace {

constexpr std::size_t text_length = 36;
constexpr std::array<std::size_t, 4> dash_positions{8, 13, 18, 23};
constexpr std::size_t version_position = 14;
constexpr std::size_t time_digits = 12;
constexpr unsigned bits_per_digit = 4;

bool is_dash_position(std::size_t position) {
    for (const std::size_t dash : dash_positions) {
        if (dash == position) {
            return true;
        }
    }
    return false;
}

int hex_digit(char character) {
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return -1;
}

bool is_uuid(std::string_view text) {
    if (text.size() != text_length) {
        return false;
    }
    for (std::size_t position = 0; position < text.size(); ++position) {
        const bool valid =
            is_dash_position(position) ? text[position] == '-' : hex_digit(text[position]) >= 0;
        if (!valid) {
            return false;
        }
    }
    return true;
}

}  // namespace

result<wall_time> uuid7_time(std::string_view text) {
    if (!is_uuid(text)) {
        return make_error_code(base_errc::invalid_uuid);
    }
    if (text[version_position] != '7') {
        return make_error_code(base_errc::not_a_version_7_uuid);
    }
    std::int64_t count = 0;
    std::size_t digits = 0;
    for (std::size_t position = 0; digits < time_digits; ++position) {
        if (is_dash_position(position)) {
            continue;
        }
        count = (count << bits_per_digit) | hex_digit(text[position]);
        ++digits;
    }
    return wall_time(milliseconds(count));
}

std::string make_uuid7(wall_time now, std::mt19937_64& generator) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::uint64_t digit_mask = 0xf;
    std::uint64_t time_bits = static_cast<std::uint64_t>(now.time_since_epoch().count()) << 16;
    std::uint64_t random_bits = generator();
    std::uint64_t more_random_bits = generator();
    std::string text;
    text.reserve(text_length);
    for (std::size_t position = 0; position < text_length; ++position) {
        if (is_dash_position(position)) {
            text.push_back('-');
        } else if (position == version_position) {
            text.push_back('7');
        } else if (position < version_position) {
            text.push_back(digits[time_bits >> 60]);
            time_bits <<= bits_per_digit;
        } else if (position == dash_positions[2] + 1) {
            text.push_back(digits[8 | (random_bits & 3)]);
            random_bits >>= bits_per_digit;
        } else {
            std::uint64_t& source = position > dash_positions[3] ? random_bits : more_random_bits;
            text.push_back(digits[source & digit_mask]);
            source >>= bits_per_digit;
        }
    }
    return text;
}

}  // namespace greengagechute
