#include "placement/delta.h"

#include "map_codec.h"
#include "placement/errors.h"

#include <algorithm>

namespace greengagechute::placement {

namespace {

constexpr std::uint32_t format_version = 1;
constexpr std::uint32_t delta_fields = 11;
constexpr std::size_t partition_fields = 5;

void pack_partitions(codec::packer& out, const map_delta& change) {
    out.pack_array(static_cast<std::uint32_t>(partition_fields * change.partitions.size()));
    for (const auto& [partition, entry] : change.partitions) {
        out.pack(partition.value());
        out.pack(entry.owner);
        out.pack(entry.successor);
        out.pack(entry.current.value());
        out.pack(entry.frozen);
    }
}

void pack_servers(codec::packer& out, codec::name_table& names, const map_delta& change) {
    out.pack_array(static_cast<std::uint32_t>(2 * change.servers.size()));
    for (const auto& [index, server] : change.servers) {
        out.pack(index);
        codec::pack_server(out, names, server);
    }
}

void read_servers(const msgpack::object& value, const std::vector<std::string>& names,
                  map_delta& change) {
    const auto elements = codec::elements_of(value, 2 * max_servers);
    for (std::size_t position = 0; position + 1 < elements.size(); position += 2) {
        change.servers.emplace_back(elements[position]->as<server_index>(),
                                    codec::read_server(*elements[position + 1], names));
    }
}

void read_partitions(const msgpack::object& value, map_delta& change) {
    const std::size_t limit = partition_fields * (max_partition_count + max_hot_keys);
    const auto elements = codec::elements_of(value, limit);
    for (std::size_t position = 0; position + partition_fields <= elements.size();
         position += partition_fields) {
        partition_entry entry;
        entry.owner = elements[position + 1]->as<server_index>();
        entry.successor = elements[position + 2]->as<server_index>();
        entry.current = epoch(elements[position + 3]->as<std::uint64_t>());
        entry.frozen = elements[position + 4]->as<bool>();
        change.partitions.emplace_back(partition_id(elements[position]->as<std::uint32_t>()),
                                       entry);
    }
}

map_delta read_delta(const msgpack::object& value) {
    const msgpack::object* fields = codec::array_of(value, delta_fields);
    if (fields[0].as<std::uint32_t>() != format_version) {
        throw msgpack::type_error();
    }
    map_delta change;
    change.service = service_id(fields[1].as<std::string>());
    change.from = map_version(fields[2].as<std::uint64_t>());
    change.to = map_version(fields[3].as<std::uint64_t>());
    change.partition_count = fields[4].as<std::uint32_t>();
    change.server_count = fields[5].as<std::uint32_t>();
    change.partition_entries = fields[6].as<std::uint32_t>();
    const std::vector<std::string> names = codec::read_names(fields[7]);
    read_servers(fields[8], names, change);
    read_partitions(fields[9], change);
    if (!fields[10].is_nil()) {
        change.hot_keys = codec::read_hot_keys(fields[10]);
    }
    return change;
}

bool is_in_range(const map_delta& change) {
    const bool servers_fit = change.server_count <= max_servers &&
                             std::ranges::all_of(change.servers, [&change](const auto& changed) {
                                 return changed.first < change.server_count;
                             });
    const bool partitions_fit =
        change.partition_entries <= max_partition_count + max_hot_keys &&
        std::ranges::all_of(change.partitions, [&change](const auto& changed) {
            return changed.first.value() < change.partition_entries;
        });
    return servers_fit && partitions_fit;
}

}  // namespace

map_delta difference(const service_map& before, const service_map& after) {
    map_delta change;
    change.service = after.service;
    change.from = before.version;
    change.to = after.version;
    change.partition_count = after.partition_count;
    change.server_count = static_cast<std::uint32_t>(after.servers.size());
    change.partition_entries = static_cast<std::uint32_t>(after.partitions.size());
    for (std::size_t index = 0; index < after.servers.size(); ++index) {
        if (index >= before.servers.size() || before.servers[index] != after.servers[index]) {
            change.servers.emplace_back(static_cast<server_index>(index), after.servers[index]);
        }
    }
    for (std::size_t index = 0; index < after.partitions.size(); ++index) {
        if (index >= before.partitions.size() ||
            before.partitions[index] != after.partitions[index]) {
            change.partitions.emplace_back(partition_id(static_cast<std::uint32_t>(index)),
                                           after.partitions[index]);
        }
    }
    if (before.hot_keys != after.hot_keys) {
        change.hot_keys = after.hot_keys;
    }
    return change;
}

status apply(service_map& map, const map_delta& change) {
    if (map.service != change.service || map.version != change.from) {
        return make_error_code(placement_errc::version_mismatch);
    }
    if (!is_in_range(change)) {
        return make_error_code(placement_errc::malformed_delta);
    }
    service_map next = map;
    next.version = change.to;
    next.partition_count = change.partition_count;
    next.servers.resize(change.server_count);
    next.partitions.resize(change.partition_entries);
    for (const auto& [index, server] : change.servers) {
        next.servers[index] = server;
    }
    for (const auto& [partition, entry] : change.partitions) {
        next.partitions[partition.value()] = entry;
    }
    if (change.hot_keys) {
        next.hot_keys = *change.hot_keys;
    }
    if (!is_valid(next)) {
        return make_error_code(placement_errc::malformed_delta);
    }
    map = std::move(next);
    return {};
}

std::string encode(const map_delta& change) {
    codec::name_table names;
    for (const auto& [index, server] : change.servers) {
        codec::add_names(names, server);
    }
    msgpack::sbuffer buffer;
    codec::packer out(buffer);
    out.pack_array(delta_fields);
    out.pack(format_version);
    out.pack(change.service.value());
    out.pack(change.from.value());
    out.pack(change.to.value());
    out.pack(change.partition_count);
    out.pack(change.server_count);
    out.pack(change.partition_entries);
    codec::pack_names(out, names);
    pack_servers(out, names, change);
    pack_partitions(out, change);
    if (change.hot_keys) {
        codec::pack_hot_keys(out, *change.hot_keys);
    } else {
        out.pack_nil();
    }
    return {buffer.data(), buffer.size()};
}

std::size_t encoded_size(const map_delta& change) {
    return encode(change).size();
}

result<map_delta> decode_delta(std::string_view body) {
    const auto parsed = codec::parse(body);
    if (!parsed) {
        return make_error_code(placement_errc::malformed_delta);
    }
    try {
        map_delta change = read_delta(parsed->get());
        if (!is_in_range(change)) {
            return make_error_code(placement_errc::malformed_delta);
        }
        return change;
    } catch (const msgpack::type_error&) {
        return make_error_code(placement_errc::malformed_delta);
    }
}

}  // namespace greengagechute::placement
