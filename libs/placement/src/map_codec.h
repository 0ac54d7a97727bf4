#pragma once

#include "placement/service_map.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagechute::placement::codec {

using packer = msgpack::packer<msgpack::sbuffer>;

/// Largest encoded map or delta in bytes, far above the largest valid one at the target size.
inline constexpr std::size_t max_body_bytes = 4UL * 1024 * 1024;

/// String table for names that occur many times (hosts, regions, data centres): each is encoded
/// once and referred to by its index.
class name_table {
public:
    /// Returns the index of a name, which is added if it is new.
    std::uint32_t add(const std::string& name);
    const std::vector<std::string>& names() const { return this->list; }

private:
    std::vector<std::string> list;
    std::unordered_map<std::string, std::uint32_t> positions;
};

/// Parses a body into objects. Empty if it is malformed, too large or nested too deeply.
std::optional<msgpack::object_handle> parse(std::string_view body);

/// The elements of an array of exactly `count` elements. Throws `msgpack::type_error` otherwise.
const msgpack::object* array_of(const msgpack::object& value, std::uint32_t count);

/// The elements of an array of at most `limit` elements. Throws `msgpack::type_error` otherwise.
std::vector<const msgpack::object*> elements_of(const msgpack::object& value, std::size_t limit);

void add_names(name_table& names, const server_entry& server);
void pack_server(packer& out, name_table& names, const server_entry& server);
server_entry read_server(const msgpack::object& value, const std::vector<std::string>& names);

void pack_names(packer& out, const name_table& names);
std::vector<std::string> read_names(const msgpack::object& value);

void pack_hot_keys(packer& out, const std::vector<hot_key>& keys);
std::vector<hot_key> read_hot_keys(const msgpack::object& value);

}  // namespace greengagechute::placement::codec
