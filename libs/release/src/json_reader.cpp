#include "json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <set>
#include <utility>

namespace greengagechute::release {

namespace {

using nlohmann::json;

note_fault fault_of(release_errc code, std::string path) {
    return {make_error_code(code), std::move(path)};
}

/// Nesting depth outside of strings.
bool depth_exceeds(std::string_view text, std::size_t max_depth) {
    std::size_t depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char character : text) {
        if (in_string) {
            const bool closes = character == '"' && !escaped;
            escaped = character == '\\' && !escaped;
            in_string = !closes;
            continue;
        }
        if (character == '"') {
            in_string = true;
        } else if (character == '{' || character == '[') {
            if (++depth > max_depth) {
                return true;
            }
        } else if ((character == '}' || character == ']') && depth > 0) {
            --depth;
        }
    }
    return false;
}

bool is_name_character(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '.' || character == '_' ||
           character == '-';
}

bool is_control(char character) {
    return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
}

bool is_port(std::string_view text) {
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() && port != 0;
}

/// `1.2.3.4:80` or `[::1]:80`.
bool is_numeric_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !is_port(std::string_view(text).substr(colon + 1))) {
        return false;
    }
    std::string address = text.substr(0, colon);
    in6_addr parsed{};
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
        return inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
    }
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1;
}

work_kind read_work_kind(object_reader& fields) {
    work_kind kind;
    kind.name = fields.name("name");
    kind.expected_cost = milliseconds(
        fields.number("expected_cost_ms", 0, static_cast<std::uint64_t>(max_deadline.count())));
    kind.body_bound = fields.number("body_bound", 0, max_body_bound);
    kind.answer_bound = fields.number("answer_bound", 0, max_body_bound);
    fields.finish();
    return kind;
}

void read_work_kinds(object_reader& fields, service_definition& service) {
    const json* kinds = fields.array("work_kinds", max_work_kinds);
    if (kinds == nullptr) {
        return;
    }
    std::set<std::string> names;
    for (std::size_t index = 0; index < kinds->size(); ++index) {
        const std::string path = fields.path_of("work_kinds[" + std::to_string(index) + "]");
        object_reader nested((*kinds)[index], path, fields.first_fault());
        service.work_kinds.push_back(read_work_kind(nested));
        if (!names.insert(service.work_kinds.back().name).second) {
            nested.fail("name", release_errc::already_exists);
        }
    }
}

}  // namespace

std::variant<json, note_fault> parse_bounded(std::string_view text, std::size_t max_text,
                                             std::size_t max_depth) {
    if (text.size() > max_text || depth_exceeds(text, max_depth)) {
        return fault_of(release_errc::note_too_large, "");
    }
    std::vector<std::set<std::string>> open_objects;
    std::optional<std::string> repeated;
    const auto check = [&](int, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::object_start) {
            open_objects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_objects.pop_back();
        } else if (event == json::parse_event_t::key) {
            const std::string field = parsed.get<std::string>();
            if (!open_objects.back().insert(field).second) {
                repeated = field;
            }
        }
        return true;
    };
    json parsed = json::parse(text, check, false);
    if (parsed.is_discarded() || repeated) {
        return fault_of(release_errc::malformed_note, repeated.value_or(""));
    }
    return parsed;
}

object_reader::object_reader(const json& content, std::string location,
                             std::optional<note_fault>& first_fault)
    : object(content), path(std::move(location)), fault(first_fault) {
    if (!this->object.is_object() && !this->fault) {
        this->fault = fault_of(release_errc::wrong_type, this->path);
    }
}

bool object_reader::has(const char* field) const {
    return this->object.is_object() && this->object.contains(field);
}

std::string object_reader::path_of(const std::string& field) const {
    return this->path.empty() ? field : this->path + "." + field;
}

void object_reader::fail(const char* field, release_errc code) {
    if (!this->fault) {
        this->fault = fault_of(code, this->path_of(field));
    }
}

const json* object_reader::require(const char* field) {
    this->known.emplace_back(field);
    if (!this->object.is_object()) {
        return nullptr;
    }
    const auto found = this->object.find(field);
    if (found == this->object.end()) {
        this->fail(field, release_errc::missing_field);
        return nullptr;
    }
    return &*found;
}

std::string object_reader::name(const char* field, std::size_t max_length) {
    std::string value = this->text(field, max_length);
    if (!std::all_of(value.begin(), value.end(), is_name_character)) {
        this->fail(field, release_errc::out_of_range);
    }
    return value;
}

std::string object_reader::text(const char* field, std::size_t max_length) {
    const json* value = this->require(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        this->fail(field, release_errc::wrong_type);
        return {};
    }
    std::string content = value->get<std::string>();
    const bool controls = std::any_of(content.begin(), content.end(), is_control);
    if (content.empty() || content.size() > max_length || controls) {
        this->fail(field, release_errc::out_of_range);
    }
    return content;
}

bool object_reader::boolean(const char* field) {
    const json* value = this->require(field);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        this->fail(field, release_errc::wrong_type);
        return false;
    }
    return value->get<bool>();
}

std::uint64_t object_reader::number(const char* field, std::uint64_t least, std::uint64_t most) {
    const json* value = this->require(field);
    if (value == nullptr) {
        return least;
    }
    if (!value->is_number_integer()) {
        this->fail(field, release_errc::wrong_type);
        return least;
    }
    const bool negative = !value->is_number_unsigned();
    const std::uint64_t content = negative ? 0 : value->get<std::uint64_t>();
    if (negative || content < least || content > most) {
        this->fail(field, release_errc::out_of_range);
        return least;
    }
    return content;
}

const json* object_reader::array(const char* field, std::size_t max_count) {
    const json* value = this->require(field);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array()) {
        this->fail(field, release_errc::wrong_type);
        return nullptr;
    }
    if (value->size() > max_count) {
        this->fail(field, release_errc::too_many_entries);
        return nullptr;
    }
    return value;
}

void object_reader::finish() {
    if (!this->object.is_object()) {
        return;
    }
    for (const auto& [field, value] : this->object.items()) {
        if (std::find(this->known.begin(), this->known.end(), field) == this->known.end()) {
            this->fail(field.c_str(), release_errc::unknown_field);
        }
    }
}

service_definition read_service(object_reader& fields) {
    service_definition service;
    service.service = service_id(fields.name("service"));
    service.divided = fields.boolean("divided");
    if (service.divided) {
        const std::uint64_t count = fields.number("partitions", min_partitions, max_partitions);
        if (!std::has_single_bit(count)) {
            fields.fail("partitions", release_errc::out_of_range);
        }
        service.partitions = static_cast<std::uint32_t>(count);
    }
    service.default_deadline = milliseconds(
        fields.number("default_deadline_ms", 1, static_cast<std::uint64_t>(max_deadline.count())));
    if (fields.has("work_kinds")) {
        read_work_kinds(fields, service);
    }
    return service;
}

upstream_definition read_upstream(object_reader& fields) {
    upstream_definition upstream;
    upstream.server = server_id(fields.name("id"));
    upstream.service = service_id(fields.name("service"));
    upstream.address = fields.text("address", max_name_length);
    if (!is_numeric_address(upstream.address)) {
        fields.fail("address", release_errc::out_of_range);
    }
    upstream.region = region_id(fields.name("region"));
    upstream.data_centre = data_centre_id(fields.name("data_centre"));
    upstream.slots = static_cast<std::uint32_t>(fields.number("slots", 1, max_slots));
    upstream.connections =
        static_cast<std::uint32_t>(fields.number("connections", 1, max_connections));
    upstream.checks_grants = fields.boolean("checks_grants");
    if (fields.has("drain")) {
        upstream.drain = fields.boolean("drain");
    }
    return upstream;
}

key_definition read_key(object_reader& fields) {
    key_definition key;
    key.service = service_id(fields.name("service"));
    key.key = fields.text("key", max_key_length);
    if (fields.has("server")) {
        key.pinned = server_id(fields.name("server"));
    }
    return key;
}

json to_json(const service_definition& service) {
    json object = {{"service", service.service.value()},
                   {"divided", service.divided},
                   {"default_deadline_ms", service.default_deadline.count()}};
    if (service.divided) {
        object["partitions"] = service.partitions;
    }
    json kinds = json::array();
    for (const work_kind& kind : service.work_kinds) {
        kinds.push_back({{"name", kind.name},
                         {"expected_cost_ms", kind.expected_cost.count()},
                         {"body_bound", kind.body_bound},
                         {"answer_bound", kind.answer_bound}});
    }
    object["work_kinds"] = kinds;
    return object;
}

json to_json(const upstream_definition& upstream) {
    return {{"id", upstream.server.value()},
            {"service", upstream.service.value()},
            {"address", upstream.address},
            {"region", upstream.region.value()},
            {"data_centre", upstream.data_centre.value()},
            {"slots", upstream.slots},
            {"connections", upstream.connections},
            {"checks_grants", upstream.checks_grants},
            {"drain", upstream.drain}};
}

json to_json(const key_definition& key) {
    json object = {{"service", key.service.value()}, {"key", key.key}};
    if (key.pinned) {
        object["server"] = key.pinned->value();
    }
    return object;
}

}  // namespace greengagechute::release
