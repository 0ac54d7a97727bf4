#include "map_codec.h"

#include "placement/errors.h"

#include <algorithm>

namespace greengagechute::placement {

namespace codec {

namespace {

constexpr std::uint32_t server_fields = 9;
constexpr std::size_t max_names = 4 * max_servers;
constexpr std::size_t max_name_bytes = 1024;
constexpr std::size_t max_depth = 4;
constexpr std::size_t max_array_elements = 5 * (max_partition_count + max_hot_keys);

const std::string& name_at(const std::vector<std::string>& names, const msgpack::object& value) {
    const auto position = value.as<std::uint32_t>();
    if (position >= names.size()) {
        throw msgpack::type_error();
    }
    return names[position];
}

}  // namespace

std::uint32_t name_table::add(const std::string& name) {
    const auto [entry, inserted] =
        this->positions.try_emplace(name, static_cast<std::uint32_t>(this->list.size()));
    if (inserted) {
        this->list.push_back(name);
    }
    return entry->second;
}

std::optional<msgpack::object_handle> parse(std::string_view body) {
    if (body.size() > max_body_bytes) {
        return std::nullopt;
    }
    // The parser reserves memory for the announced length of an array before it reads the elements;
    // each element takes at least one byte of the body.
    const std::size_t max_elements = std::min(max_array_elements, body.size());
    const msgpack::unpack_limit limits(max_elements, 0, max_name_bytes, 0, 0, max_depth);
    try {
        std::size_t offset = 0;
        msgpack::object_handle handle =
            msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limits);
        if (offset != body.size()) {
            return std::nullopt;
        }
        return handle;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    }
}

const msgpack::object* array_of(const msgpack::object& value, std::uint32_t count) {
    if (value.type != msgpack::type::ARRAY || value.via.array.size != count) {
        throw msgpack::type_error();
    }
    return value.via.array.ptr;
}

std::vector<const msgpack::object*> elements_of(const msgpack::object& value, std::size_t limit) {
    if (value.type != msgpack::type::ARRAY || value.via.array.size > limit) {
        throw msgpack::type_error();
    }
    std::vector<const msgpack::object*> elements;
    elements.reserve(value.via.array.size);
    for (std::uint32_t position = 0; position < value.via.array.size; ++position) {
        elements.push_back(value.via.array.ptr + position);
    }
    return elements;
}

void add_names(name_table& names, const server_entry& server) {
    names.add(server.region.value());
    names.add(server.data_centre.value());
    names.add(server.dispatcher.host.value());
    names.add(server.standby.host.value());
}

void pack_server(packer& out, name_table& names, const server_entry& server) {
    out.pack_array(server_fields);
    out.pack(server.server.value());
    out.pack(names.add(server.region.value()));
    out.pack(names.add(server.data_centre.value()));
    out.pack(names.add(server.dispatcher.host.value()));
    out.pack(server.dispatcher.instance.value());
    out.pack(names.add(server.standby.host.value()));
    out.pack(server.standby.instance.value());
    out.pack(server.standby_confirmed);
    out.pack(server.leaving);
}

server_entry read_server(const msgpack::object& value, const std::vector<std::string>& names) {
    const msgpack::object* fields = array_of(value, server_fields);
    server_entry server;
    server.server = server_id(fields[0].as<std::string>());
    server.region = region_id(name_at(names, fields[1]));
    server.data_centre = data_centre_id(name_at(names, fields[2]));
    server.dispatcher.host = host_id(name_at(names, fields[3]));
    server.dispatcher.instance = incarnation(fields[4].as<std::uint64_t>());
    server.standby.host = host_id(name_at(names, fields[5]));
    server.standby.instance = incarnation(fields[6].as<std::uint64_t>());
    server.standby_confirmed = fields[7].as<bool>();
    server.leaving = fields[8].as<bool>();
    return server;
}

void pack_names(packer& out, const name_table& names) {
    out.pack(names.names());
}

std::vector<std::string> read_names(const msgpack::object& value) {
    std::vector<std::string> names;
    for (const msgpack::object* element : elements_of(value, max_names)) {
        names.push_back(element->as<std::string>());
    }
    return names;
}

void pack_hot_keys(packer& out, const std::vector<hot_key>& keys) {
    out.pack_array(static_cast<std::uint32_t>(2 * keys.size()));
    for (const hot_key& key : keys) {
        out.pack(key.key_hash);
        out.pack(key.partition.value());
    }
}

std::vector<hot_key> read_hot_keys(const msgpack::object& value) {
    const std::vector<const msgpack::object*> elements = elements_of(value, 2 * max_hot_keys);
    std::vector<hot_key> keys;
    for (std::size_t position = 0; position + 1 < elements.size(); position += 2) {
        keys.push_back(hot_key{elements[position]->as<std::uint64_t>(),
                               partition_id(elements[position + 1]->as<std::uint32_t>())});
    }
    return keys;
}

}  // namespace codec

namespace {

constexpr std::uint32_t format_version = 1;
constexpr std::uint32_t map_fields = 11;

// Stored by columns: small equal numbers take one byte each.
void pack_partitions(codec::packer& out, const std::vector<partition_entry>& partitions) {
    const auto count = static_cast<std::uint32_t>(partitions.size());
    out.pack_array(count);
    for (const partition_entry& entry : partitions) {
        out.pack(entry.owner);
    }
    out.pack_array(count);
    for (const partition_entry& entry : partitions) {
        out.pack(entry.successor);
    }
    out.pack_array(count);
    for (const partition_entry& entry : partitions) {
        out.pack(entry.current.value());
    }
    std::vector<std::uint32_t> frozen;
    for (std::uint32_t number = 0; number < count; ++number) {
        if (partitions[number].frozen) {
            frozen.push_back(number);
        }
    }
    out.pack(frozen);
}

std::vector<partition_entry> read_partitions(const msgpack::object* columns) {
    const std::size_t limit = max_partition_count + max_hot_keys;
    const auto owners = codec::elements_of(columns[0], limit);
    const auto successors = codec::elements_of(columns[1], limit);
    const auto epochs = codec::elements_of(columns[2], limit);
    if (owners.size() != successors.size() || owners.size() != epochs.size()) {
        throw msgpack::type_error();
    }
    std::vector<partition_entry> partitions(owners.size());
    for (std::size_t position = 0; position < owners.size(); ++position) {
        partitions[position].owner = owners[position]->as<server_index>();
        partitions[position].successor = successors[position]->as<server_index>();
        partitions[position].current = epoch(epochs[position]->as<std::uint64_t>());
    }
    for (const msgpack::object* element : codec::elements_of(columns[3], partitions.size())) {
        const auto number = element->as<std::uint32_t>();
        if (number >= partitions.size()) {
            throw msgpack::type_error();
        }
        partitions[number].frozen = true;
    }
    return partitions;
}

service_map read_map(const msgpack::object& value) {
    const msgpack::object* fields = codec::array_of(value, map_fields);
    if (fields[0].as<std::uint32_t>() != format_version) {
        throw msgpack::type_error();
    }
    service_map map;
    map.service = service_id(fields[1].as<std::string>());
    map.version = map_version(fields[2].as<std::uint64_t>());
    map.partition_count = fields[3].as<std::uint32_t>();
    const std::vector<std::string> names = codec::read_names(fields[4]);
    for (const msgpack::object* element : codec::elements_of(fields[5], max_servers)) {
        map.servers.push_back(codec::read_server(*element, names));
    }
    map.partitions = read_partitions(fields + 6);
    map.hot_keys = codec::read_hot_keys(fields[10]);
    return map;
}

}  // namespace

std::string encode(const service_map& map) {
    codec::name_table names;
    for (const server_entry& server : map.servers) {
        codec::add_names(names, server);
    }
    msgpack::sbuffer buffer;
    codec::packer out(buffer);
    out.pack_array(map_fields);
    out.pack(format_version);
    out.pack(map.service.value());
    out.pack(map.version.value());
    out.pack(map.partition_count);
    codec::pack_names(out, names);
    out.pack_array(static_cast<std::uint32_t>(map.servers.size()));
    for (const server_entry& server : map.servers) {
        codec::pack_server(out, names, server);
    }
    pack_partitions(out, map.partitions);
    codec::pack_hot_keys(out, map.hot_keys);
    return {buffer.data(), buffer.size()};
}

result<service_map> decode(std::string_view body) {
    const auto parsed = codec::parse(body);
    if (!parsed) {
        return make_error_code(placement_errc::malformed_map);
    }
    try {
        service_map map = read_map(parsed->get());
        if (!is_valid(map)) {
            return make_error_code(placement_errc::malformed_map);
        }
        return map;
    } catch (const msgpack::type_error&) {
        return make_error_code(placement_errc::malformed_map);
    }
}

}  // namespace greengagechute::placement
