#pragma once

#include "base/result.h"
#include "settings/load.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagechute::settings {

using setting_value =
    std::variant<std::string, std::int64_t, bool, socket_address, std::vector<socket_address>>;

struct value_fault {
    settings_errc code = settings_errc::invalid_value;
    /// What the key accepts, without the value that was given.
    std::string text;
};

using parsed_value = std::variant<setting_value, value_fault>;

/// Parses a value as the key describes it.
parsed_value parse_value(const key_description& description, std::string_view text);

}  // namespace greengagechute::settings
