#include "values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace greengagechute::settings {

namespace {

template <typename type>
std::optional<type> parse_number(std::string_view text) {
    type number{};
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    if (code != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return number;
}

bool is_numeric_ip(const std::string& text, int family) {
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

std::optional<socket_address> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    int family = AF_INET;
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    socket_address address{std::string(host), port.value_or(0)};
    if (!port || !is_numeric_ip(address.ip, family)) {
        return std::nullopt;
    }
    return address;
}

std::string range_text(const key_description& description) {
    std::string text =
        std::to_string(description.minimum) + " to " + std::to_string(description.maximum);
    if (!description.unit.empty()) {
        text += ' ';
        text += description.unit;
    }
    return text;
}

bool in_range(const key_description& description, std::int64_t number) {
    return number >= description.minimum && number <= description.maximum;
}

parsed_value parse_integer(const key_description& description, std::string_view text) {
    const auto number = parse_number<std::int64_t>(text);
    if (!number) {
        return value_fault{settings_errc::invalid_value,
                           "an integer of " + range_text(description) + " is expected"};
    }
    if (!in_range(description, *number)) {
        return value_fault{settings_errc::out_of_range,
                           "the value is not in " + range_text(description)};
    }
    return setting_value{*number};
}

parsed_value parse_boolean(std::string_view text) {
    if (text == "on") {
        return setting_value{true};
    }
    if (text == "off") {
        return setting_value{false};
    }
    return value_fault{settings_errc::invalid_value, "on or off is expected"};
}

bool is_name_character(char character) {
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
           character == '-' || character == '_' || character == '.';
}

parsed_value parse_text(const key_description& description, std::string_view text) {
    if (!in_range(description, static_cast<std::int64_t>(text.size()))) {
        return value_fault{settings_errc::out_of_range,
                           "the number of characters is not in " + range_text(description)};
    }
    const bool is_name = std::all_of(text.begin(), text.end(), is_name_character);
    if (description.type == value_type::name && !is_name) {
        return value_fault{settings_errc::invalid_value,
                           "a name may contain a-z, 0-9, '-', '_' and '.' only"};
    }
    return setting_value{std::string(text)};
}

parsed_value parse_one_address(std::string_view text) {
    const auto address = parse_address(text);
    if (!address) {
        return value_fault{settings_errc::invalid_value, "a numeric ip:port is expected"};
    }
    return setting_value{*address};
}

parsed_value parse_addresses(const key_description& description, std::string_view text) {
    constexpr std::string_view separators = " \t,";
    std::vector<socket_address> addresses;
    std::size_t start = text.find_first_not_of(separators);
    while (start != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(separators, start), text.size());
        const auto address = parse_address(text.substr(start, end - start));
        if (!address || address->port == 0) {
            return value_fault{settings_errc::invalid_value,
                               "a list of numeric ip:port, separated by commas or spaces, is "
                               "expected"};
        }
        addresses.push_back(*address);
        start = text.find_first_not_of(separators, end);
    }
    if (!in_range(description, static_cast<std::int64_t>(addresses.size()))) {
        return value_fault{settings_errc::out_of_range,
                           "the number of addresses is not in " + range_text(description)};
    }
    return setting_value{std::move(addresses)};
}

parsed_value parse_choice(const key_description& description, std::string_view text) {
    std::string_view rest = description.choices;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('|'), rest.size());
        if (rest.substr(0, end) == text) {
            return setting_value{std::string(text)};
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return value_fault{settings_errc::invalid_value,
                       "one of " + std::string(description.choices) + " is expected"};
}

}  // namespace

parsed_value parse_value(const key_description& description, std::string_view text) {
    switch (description.type) {
        case value_type::integer:
            return parse_integer(description, text);
        case value_type::boolean:
            return parse_boolean(text);
        case value_type::address:
            return parse_one_address(text);
        case value_type::address_list:
            return parse_addresses(description, text);
        case value_type::choice:
            return parse_choice(description, text);
        case value_type::text:
        case value_type::name:
        case value_type::path:
            break;
    }
    return parse_text(description, text);
}

}  // namespace greengagechute::settings
