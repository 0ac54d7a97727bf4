#pragma once

#include "release/errors.h"
#include "release/note.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagechute::release {

/// Parses a text whose size and depth are bounded. An object with the same field twice is
/// malformed.
std::variant<nlohmann::json, note_fault> parse_bounded(std::string_view text, std::size_t max_text,
                                                       std::size_t max_depth);

/// Reads the fields of a JSON object and records the first fault with its path.
class object_reader {
public:
    object_reader(const nlohmann::json& content, std::string location,
                  std::optional<note_fault>& first_fault);

    bool has(const char* field) const;
    /// 1 to `max_length` letters, digits, `.`, `_` and `-`.
    std::string name(const char* field, std::size_t max_length = max_name_length);
    /// 1 to `max_length` bytes without control characters.
    std::string text(const char* field, std::size_t max_length);
    bool boolean(const char* field);
    std::uint64_t number(const char* field, std::uint64_t least, std::uint64_t most);
    /// Null, with a fault, if the field is missing or no array of at most `max_count` elements.
    const nlohmann::json* array(const char* field, std::size_t max_count);
    void fail(const char* field, release_errc code);
    /// Faults every field that was not read.
    void finish();
    std::string path_of(const std::string& field) const;
    /// Where nested readers record their fault.
    std::optional<note_fault>& first_fault() { return this->fault; }

private:
    const nlohmann::json* require(const char* field);

    const nlohmann::json& object;
    std::string path;
    std::optional<note_fault>& fault;
    std::vector<std::string> known;
};

service_definition read_service(object_reader& fields);
upstream_definition read_upstream(object_reader& fields);
key_definition read_key(object_reader& fields);

nlohmann::json to_json(const service_definition& service);
nlohmann::json to_json(const upstream_definition& upstream);
nlohmann::json to_json(const key_definition& key);

}  // namespace greengagechute::release
