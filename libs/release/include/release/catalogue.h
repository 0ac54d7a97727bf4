#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "release/note.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace greengagechute::release {

inline constexpr std::size_t max_catalogue_text = std::size_t{64} * 1024 * 1024;
inline constexpr std::size_t max_services = 1'024;
/// Indices of servers in a map have 16 bits, one value of which stands for "no server".
inline constexpr std::size_t max_servers = 65'535;
inline constexpr std::size_t max_keys = 100'000;

/// The effective configuration after a release note.
struct catalogue {
    revision number;
    /// Identifies the attempt that prepared this catalogue. It makes the digest of every attempt
    /// different, so that a delayed abort of one attempt cannot hit a later one with equal changes.
    std::string origin;
    std::map<service_id, service_definition> services;
    std::map<server_id, upstream_definition> servers;
    std::map<std::pair<service_id, std::string>, key_definition> keys;

    friend bool operator==(const catalogue&, const catalogue&) = default;
};

/// The catalogue with the next revision in which the changes of the note are in force, without an
/// origin. All changes take effect together, so their order does not matter; references are checked
/// in the result. The key entries of a withdrawn service go with it. The fault's path names the
/// offending change (`changes[3]`).
/// Errors: `duplicate_change`, `already_exists`, `does_not_exist`, `unknown_service`,
/// `unknown_server`, `still_in_use`, `fixed_property` (divided, partitions, and the service of a
/// server cannot change), `address_in_use`, `not_divided`, `too_many_entries`, `base_superseded`,
/// and `out_of_range` for a base that does not exist yet.
std::variant<catalogue, note_fault> apply(const catalogue& current, const note& value);

/// JSON text; equal catalogues have equal texts.
std::string encode(const catalogue& value);
/// Error: `release_errc::malformed_catalogue`.
result<catalogue> decode_catalogue(std::string_view text);

/// `hash64` of the encoded text.
std::uint64_t digest_of(std::string_view catalogue_body);

}  // namespace greengagechute::release
