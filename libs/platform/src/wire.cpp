#include "platform/wire.h"

#include "platform/errors.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <utility>

namespace greengagechute::platform {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> state_names{"committed", "conflict", "absent"};
constexpr int base64_group = 4;
constexpr int base64_bytes = 3;
constexpr int hexadecimal = 16;

std::error_code malformed() {
    return make_error_code(platform_errc::malformed_answer);
}

std::string encode_base64(std::string_view bytes) {
    std::string text((bytes.size() + 2) / base64_bytes * base64_group + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

bool decode_base64(const std::string& text, std::string& bytes) {
    bytes.assign(text.size() / base64_group * base64_bytes, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return false;
    }
    // EVP_DecodeBlock counts the padding as zero bytes.
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return true;
}

// Parses an object; a discarded value stands for malformed or too deeply nested text.
json parse_object(std::string_view text) {
    bool too_deep = false;
    const json::parser_callback_t check_depth = [&too_deep](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || static_cast<std::size_t>(depth) > json_depth;
        return !too_deep;
    };
    json parsed = json::parse(text, check_depth, false);
    if (too_deep || !parsed.is_object()) {
        return json(json::value_t::discarded);
    }
    return parsed;
}

// The writers replace invalid UTF-8 in keys and names instead of throwing.
std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool get(const json& from, const char* name, std::string& value) {
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string()) {
        return false;
    }
    value = found->get<std::string>();
    return true;
}

bool get(const json& from, const char* name, std::uint64_t& value) {
    const auto found = from.find(name);
    if (found == from.end() || !found->is_number_unsigned()) {
        return false;
    }
    value = found->get<std::uint64_t>();
    return true;
}

bool get(const json& from, const char* name, bool& value) {
    const auto found = from.find(name);
    if (found == from.end() || !found->is_boolean()) {
        return false;
    }
    value = found->get<bool>();
    return true;
}

template <typename tag>
bool get(const json& from, const char* name, strong_id<tag, std::string>& value) {
    std::string plain;
    if (!get(from, name, plain)) {
        return false;
    }
    value = strong_id<tag, std::string>(std::move(plain));
    return true;
}

bool get_bytes(const json& from, const char* name, std::string& value) {
    std::string text;
    return get(from, name, text) && decode_base64(text, value);
}

// Reads an array of objects with `read_item(item, value)`.
template <typename item_type, typename reader>
bool get_items(const json& from, const char* name, std::vector<item_type>& values,
               reader read_item) {
    const auto found = from.find(name);
    if (found == from.end() || !found->is_array()) {
        return false;
    }
    for (const json& item : *found) {
        if (!item.is_object() || !read_item(item, values.emplace_back())) {
            return false;
        }
    }
    return true;
}

bool get_versions(const json& from, std::vector<std::uint64_t>& versions) {
    const auto found = from.find("versions");
    if (found == from.end() || !found->is_array()) {
        return false;
    }
    for (const json& item : *found) {
        if (!item.is_number_unsigned()) {
            return false;
        }
        versions.push_back(item.get<std::uint64_t>());
    }
    return true;
}

bool get_state(const json& from, commit_state& state) {
    std::string name;
    if (!get(from, "state", name)) {
        return false;
    }
    for (std::size_t index = 0; index < state_names.size(); ++index) {
        if (state_names[index] == name) {
            state = static_cast<commit_state>(index);
            return true;
        }
    }
    return false;
}

bool get_condition(const json& from, condition& value) {
    return get(from, "key", value.key) && get(from, "version", value.version);
}

bool get_write(const json& from, write& value) {
    return get(from, "key", value.key) && get_bytes(from, "value", value.value);
}

bool get_row(const json& from, row& value) {
    return get(from, "key", value.key) && get_bytes(from, "value", value.value) &&
           get(from, "version", value.version);
}

bool get_host(const json& from, listed_host& value) {
    return get(from, "host", value.host) && get(from, "address", value.address) &&
           get(from, "region", value.region) && get(from, "data_centre", value.data_centre) &&
           get(from, "leaving", value.leaving);
}

bool get_transaction(const json& from, transaction& value) {
    return get(from, "id", value.id) &&
           get_items(from, "conditions", value.conditions, get_condition) &&
           get_items(from, "writes", value.writes, get_write);
}

bool get_committed(const json& from, committed_transaction& value) {
    std::uint64_t time = 0;
    if (!get(from, "time_ms", time) || !get_transaction(from, value.content)) {
        return false;
    }
    value.time = milliseconds(static_cast<std::int64_t>(time));
    for (const json& item : from["writes"]) {
        if (!get(item, "version", value.versions.emplace_back())) {
            return false;
        }
    }
    return true;
}

json to_json(const condition& value) {
    return {{"key", value.key}, {"version", value.version}};
}

json to_json(const write& value) {
    return {{"key", value.key}, {"value", encode_base64(value.value)}};
}

json to_json(const row& value) {
    return {{"key", value.key}, {"value", encode_base64(value.value)}, {"version", value.version}};
}

json to_json(const listed_host& value) {
    return {{"host", value.host.value()},
            {"address", value.address},
            {"region", value.region.value()},
            {"data_centre", value.data_centre.value()},
            {"leaving", value.leaving}};
}

json to_json(const committed_transaction& value);

template <typename item_type>
json to_array(const std::vector<item_type>& values) {
    json items = json::array();
    for (const item_type& value : values) {
        items.push_back(to_json(value));
    }
    return items;
}

json to_json(const transaction& value) {
    return {{"id", value.id},
            {"conditions", to_array(value.conditions)},
            {"writes", to_array(value.writes)}};
}

json to_json(const committed_transaction& value) {
    json content = to_json(value.content);
    content["time_ms"] = value.time.count();
    for (std::size_t index = 0; index < value.versions.size(); ++index) {
        content["writes"][index]["version"] = value.versions[index];
    }
    return content;
}

bool is_plain(char byte) {
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= '0' && byte <= '9') ||
           std::string_view("-._~/").find(byte) != std::string_view::npos;
}

}  // namespace

std::string write_transaction(const transaction& change) {
    return dump(to_json(change));
}

result<transaction> read_transaction(std::string_view text) {
    const json parsed = parse_object(text);
    transaction value;
    if (parsed.is_discarded() || !get_transaction(parsed, value)) {
        return malformed();
    }
    return value;
}

std::string write_commit_result(const commit_result& answer) {
    return dump({{"state", state_names.at(static_cast<std::size_t>(answer.state))},
                 {"versions", answer.versions}});
}

result<commit_result> read_commit_result(std::string_view text) {
    const json parsed = parse_object(text);
    commit_result value;
    if (parsed.is_discarded() || !get_state(parsed, value.state) ||
        !get_versions(parsed, value.versions)) {
        return malformed();
    }
    return value;
}

std::string write_row(const row& content) {
    return dump(to_json(content));
}

result<row> read_row(std::string_view text) {
    const json parsed = parse_object(text);
    row value;
    if (parsed.is_discarded() || !get_row(parsed, value)) {
        return malformed();
    }
    return value;
}

std::string write_rows(const std::vector<row>& rows) {
    return dump({{"rows", to_array(rows)}});
}

result<std::vector<row>> read_rows(std::string_view text) {
    const json parsed = parse_object(text);
    std::vector<row> values;
    if (parsed.is_discarded() || !get_items(parsed, "rows", values, get_row)) {
        return malformed();
    }
    return values;
}

std::string write_hosts(const std::vector<listed_host>& hosts) {
    return dump({{"hosts", to_array(hosts)}});
}

result<std::vector<listed_host>> read_hosts(std::string_view text) {
    const json parsed = parse_object(text);
    std::vector<listed_host> values;
    if (parsed.is_discarded() || !get_items(parsed, "hosts", values, get_host)) {
        return malformed();
    }
    return values;
}

std::string write_history(const std::vector<committed_transaction>& history) {
    return dump({{"transactions", to_array(history)}});
}

result<std::vector<committed_transaction>> read_history(std::string_view text) {
    const json parsed = parse_object(text);
    std::vector<committed_transaction> values;
    if (parsed.is_discarded() || !get_items(parsed, "transactions", values, get_committed)) {
        return malformed();
    }
    return values;
}

std::string encode_path(std::string_view name) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string path;
    for (const char byte : name) {
        if (is_plain(byte)) {
            path += byte;
            continue;
        }
        const auto number = static_cast<unsigned char>(byte);
        path += '%';
        path += digits[number / hexadecimal];
        path += digits[number % hexadecimal];
    }
    return path;
}

result<std::string> decode_path(std::string_view path) {
    std::string name;
    for (std::size_t index = 0; index < path.size(); ++index) {
        if (path[index] != '%') {
            name += path[index];
            continue;
        }
        unsigned char number = 0;
        const std::string_view pair = path.substr(index + 1, 2);
        const auto [end, code] =
            std::from_chars(pair.data(), pair.data() + pair.size(), number, hexadecimal);
        if (pair.size() != 2 || code != std::errc{} || end != pair.data() + pair.size()) {
            return malformed();
        }
        name += static_cast<char>(number);
        index += 2;
    }
    return name;
}

}  // namespace greengagechute::platform
