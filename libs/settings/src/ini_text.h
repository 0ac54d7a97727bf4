#pragma once

#include "settings/load.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::settings {

/// A key with its value as written.
struct ini_entry {
    std::string section;
    std::string key;
    std::string value;
    std::size_t line = 0;
    /// The value continues on indented lines.
    bool continued = false;
};

struct ini_section {
    std::string name;
    std::size_t line = 0;
};

/// The content of a file in INI format.
struct ini_text {
    std::vector<ini_section> sections;
    std::vector<ini_entry> entries;
    std::vector<load_error> errors;
};

ini_text parse_ini(std::string_view text, std::string_view file_name);

}  // namespace greengagechute::settings
