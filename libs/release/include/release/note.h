#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

namespace greengagechute::release {

/// Bounds of a release note from outside.
inline constexpr std::size_t max_note_text = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t max_note_depth = 8;
inline constexpr std::size_t max_changes = 10'000;
inline constexpr std::size_t max_work_kinds = 32;
inline constexpr std::size_t max_name_length = 128;
inline constexpr std::size_t max_key_length = 256;
inline constexpr std::uint32_t min_partitions = 16;
inline constexpr std::uint32_t max_partitions = 65'536;
inline constexpr std::uint32_t max_slots = 1'024;
inline constexpr std::uint32_t max_connections = 65'536;
inline constexpr milliseconds max_deadline{600'000};
inline constexpr std::uint64_t max_body_bound = std::uint64_t{1} << 32;

/// A class of work of a service, chosen by `X-Work-Kind`.
struct work_kind {
    std::string name;
    /// Service time that is assumed until it is learned.
    milliseconds expected_cost{0};
    /// Largest request and answer in bytes.
    std::uint64_t body_bound = 0;
    std::uint64_t answer_bound = 0;

    friend bool operator==(const work_kind&, const work_kind&) = default;
};

struct service_definition {
    service_id service;
    /// Keys are owned by single servers.
    bool divided = false;
    /// Power of two from 16 to 65,536 for a divided service, otherwise 0.
    std::uint32_t partitions = 0;
    milliseconds default_deadline{0};
    std::vector<work_kind> work_kinds;

    friend bool operator==(const service_definition&, const service_definition&) = default;
};

/// One server of a service.
struct upstream_definition {
    server_id server;
    service_id service;
    /// Numeric `ip:port`; an IPv6 address is in brackets.
    std::string address;
    region_id region;
    data_centre_id data_centre;
    /// Requests that it runs at once, and connections that it accepts.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// The server refuses work without a valid grant. A server of a divided service has to.
    bool checks_grants = false;
    /// The server gets no new work.
    bool drain = false;

    friend bool operator==(const upstream_definition&, const upstream_definition&) = default;
};

/// A key with its own rule. Other keys need no entry.
struct key_definition {
    service_id service;
    std::string key;
    /// The server that has to own the key; empty if any may.
    std::optional<server_id> pinned;
    /// Requests for the key are refused.
    bool withdrawn = false;

    friend bool operator==(const key_definition&, const key_definition&) = default;
};

enum class change_op { add, change, withdraw };

/// For a withdrawal only the identifying members of `subject` are set (service; server; service and
/// key).
struct change {
    change_op op = change_op::add;
    std::variant<service_definition, upstream_definition, key_definition> subject;
};

/// A release note as an operator submits it.
struct note {
    /// UUID of the submission; a retry carries the same one.
    std::string submission;
    /// The revision that the operator has seen in force.
    revision base;
    std::vector<change> changes;
};

/// Why a note was refused, and where: a JSON path such as `changes[3].slots`, or the change.
struct note_fault {
    std::error_code code;
    std::string path;
};

/// Reads the JSON form:
///
///     {"submission_id": "<UUID>", "base_revision": 7, "changes": [
///       {"op": "add", "kind": "service", "service": "returns-ledger", "divided": true,
///        "partitions": 1024, "default_deadline_ms": 2000, "work_kinds": [
///          {"name": "credit", "expected_cost_ms": 4, "body_bound": 65536, "answer_bound":
///          65536}]},
///       {"op": "add", "kind": "upstream", "id": "rl-1", "service": "returns-ledger",
///        "address": "10.0.0.1:8080", "region": "lothian", "data_centre": "depot", "slots": 3,
///        "connections": 130, "checks_grants": true, "drain": false},
///       {"op": "change", "kind": "key", "service": "returns-ledger", "key": "a/1", "server":
///       "rl-1"},
///       {"op": "withdraw", "kind": "upstream", "id": "rl-2"}]}
///
/// `partitions` is required if and only if `divided` is true; `work_kinds`, `drain` and the
/// `server` of a key are optional, everything else is required. A change replaces the whole entry.
/// Size, depth and counts are bounded; an unknown field is an error.
std::variant<note, note_fault> parse_note(std::string_view text);

/// The JSON form of a note.
std::string encode(const note& value);

}  // namespace greengagechute::release
