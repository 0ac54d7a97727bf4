#pragma once

#include "base/result.h"
#include "settings/daemon_settings.h"
#include "settings/errors.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace greengagechute::settings {

enum class value_type { text, name, integer, boolean, address, address_list, path, choice };

/// What a key accepts.
struct key_description {
    std::string_view section;
    std::string_view key;
    value_type type = value_type::text;
    /// Unit of an integer, for example `ms` or `bytes`; empty otherwise.
    std::string_view unit;
    /// Range of an integer, or of the length of a text; unused otherwise.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Value of a key that is left out.
    std::string_view default_value;
    bool required = false;
    /// Accepted words of a choice, separated by `|`.
    std::string_view choices;
};

/// All keys that a settings file may contain.
std::span<const key_description> key_descriptions();

/// One fault of a settings file.
struct load_error {
    std::error_code code;
    std::string file;
    /// Counted from 1; 0 if the fault belongs to no line, for example a missing key.
    std::size_t line = 0;
    /// What is wrong, with section and key. Never contains the value of a key field.
    std::string text;

    /// `file:line: text (code)`.
    std::string message() const;
};

struct load_options {
    /// Accept port 0 in listen addresses, so that a test gets a free port.
    bool allow_port_zero = false;
    /// Reads a `key_file`; by default from disk, at most 4 KB, without the end of line.
    std::function<result<std::string>(const std::string& path)> read_file;
};

/// The settings, or every error of the file.
struct load_result {
    std::optional<const daemon_settings> settings;
    std::vector<load_error> errors;
};

/// Parses and checks the text of a settings file in INI format.
/// @param file_name  used in errors, and a relative `key_file` is relative to its directory
load_result load(std::string_view text, std::string_view file_name,
                 const load_options& options = {});

/// Reads the file at `path` (at most 64 KB) and loads it.
load_result load_file(const std::string& path, const load_options& options = {});

}  // namespace greengagechute::settings
