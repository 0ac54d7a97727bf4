#include "release/note.h"

#include "base/errors.h"
#include "base/uuid.h"
#include "json_reader.h"

#include <algorithm>
#include <array>
#include <limits>

namespace greengagechute::release {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> op_names{"add", "change", "withdraw"};
constexpr std::array<std::string_view, 3> kind_names{"service", "upstream", "key"};

/// Index of the text of `field` in `names`; faults another text.
std::optional<std::size_t> read_choice(object_reader& fields, const char* field,
                                       const std::array<std::string_view, 3>& names) {
    const std::string text = fields.text(field, max_name_length);
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        fields.fail(field, release_errc::out_of_range);
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - names.begin());
}

std::variant<service_definition, upstream_definition, key_definition> read_subject(
    object_reader& fields, std::size_t kind) {
    if (kind == 0) {
        return read_service(fields);
    }
    if (kind == 1) {
        return read_upstream(fields);
    }
    return read_key(fields);
}

std::variant<service_definition, upstream_definition, key_definition> read_identity(
    object_reader& fields, std::size_t kind) {
    if (kind == 0) {
        service_definition service;
        service.service = service_id(fields.name("service"));
        return service;
    }
    if (kind == 1) {
        upstream_definition upstream;
        upstream.server = server_id(fields.name("id"));
        return upstream;
    }
    key_definition key;
    key.service = service_id(fields.name("service"));
    key.key = fields.text("key", max_key_length);
    return key;
}

change read_change(const json& object, const std::string& path, std::optional<note_fault>& fault) {
    object_reader fields(object, path, fault);
    const auto op = read_choice(fields, "op", op_names);
    const auto kind = read_choice(fields, "kind", kind_names);
    change entry;
    if (!op || !kind) {
        return entry;
    }
    entry.op = static_cast<change_op>(*op);
    entry.subject = entry.op == change_op::withdraw ? read_identity(fields, *kind)
                                                    : read_subject(fields, *kind);
    fields.finish();
    return entry;
}

std::string read_submission(object_reader& fields) {
    std::string text = fields.name("submission_id");
    std::transform(text.begin(), text.end(), text.begin(), [](char character) {
        const bool upper = character >= 'A' && character <= 'Z';
        return upper ? static_cast<char>(character - 'A' + 'a') : character;
    });
    // A UUID of another version is accepted; only its form counts.
    if (uuid7_time(text).error() == base_errc::invalid_uuid) {
        fields.fail("submission_id", release_errc::out_of_range);
    }
    return text;
}

json identity_of(const service_definition& service) {
    return {{"service", service.service.value()}};
}

json identity_of(const upstream_definition& upstream) {
    return {{"id", upstream.server.value()}};
}

json identity_of(const key_definition& key) {
    return {{"service", key.service.value()}, {"key", key.key}};
}

}  // namespace

std::variant<note, note_fault> parse_note(std::string_view text) {
    const auto parsed = parse_bounded(text, max_note_text, max_note_depth);
    if (const auto* fault = std::get_if<note_fault>(&parsed)) {
        return *fault;
    }
    std::optional<note_fault> fault;
    object_reader fields(std::get<json>(parsed), "", fault);
    note value;
    value.submission = read_submission(fields);
    value.base =
        revision(fields.number("base_revision", 0, std::numeric_limits<std::uint64_t>::max() - 1));
    const json* changes = fields.array("changes", max_changes);
    for (std::size_t index = 0; changes != nullptr && index < changes->size() && !fault; ++index) {
        const std::string path = "changes[" + std::to_string(index) + "]";
        value.changes.push_back(read_change((*changes)[index], path, fault));
    }
    if (changes != nullptr && changes->empty()) {
        fields.fail("changes", release_errc::out_of_range);
    }
    fields.finish();
    if (fault) {
        return *fault;
    }
    return value;
}

std::string encode(const note& value) {
    json changes = json::array();
    for (const change& entry : value.changes) {
        json object = std::visit(
            [&](const auto& subject) {
                return entry.op == change_op::withdraw ? identity_of(subject) : to_json(subject);
            },
            entry.subject);
        object["op"] = op_names[static_cast<std::size_t>(entry.op)];
        object["kind"] = kind_names[entry.subject.index()];
        changes.push_back(object);
    }
    const json object = {{"submission_id", value.submission},
                         {"base_revision", value.base.value()},
                         {"changes", changes}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace greengagechute::release
