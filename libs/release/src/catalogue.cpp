#include "release/catalogue.h"

#include "base/hash.h"
#include "json_reader.h"
#include "release/errors.h"

#include <limits>
#include <optional>
#include <set>
#include <vector>

namespace greengagechute::release {

namespace {

using nlohmann::json;
using key_id = std::pair<service_id, std::string>;

constexpr std::size_t max_catalogue_depth = 8;
constexpr std::size_t max_origin_length = 256;

key_id id_of(const key_definition& key) {
    return {key.service, key.key};
}

/// Collects the changes of a note in a copy of the catalogue; the first fault ends it.
class change_applier {
public:
    change_applier(const catalogue& current, const note& value) : next(current), source(value) {
        this->next.number = current.number.next();
        this->next.origin.clear();
    }

    std::variant<catalogue, note_fault> run() {
        for (this->index = 0; this->index < this->source.changes.size(); ++this->index) {
            const change& entry = this->source.changes[this->index];
            std::visit([&](const auto& subject) { this->edit(entry.op, subject); }, entry.subject);
            if (this->fault) {
                return *this->fault;
            }
        }
        this->drop_keys_of_withdrawn_services();
        this->check_counts();
        this->collect_references();
        for (this->index = 0; this->index < this->source.changes.size(); ++this->index) {
            const change& entry = this->source.changes[this->index];
            std::visit([&](const auto& subject) { this->check(entry.op, subject); }, entry.subject);
        }
        if (this->fault) {
            return *this->fault;
        }
        return std::move(this->next);
    }

private:
    void fail(release_errc code) {
        if (!this->fault) {
            const std::string path = "changes[" + std::to_string(this->index) + "]";
            this->fault = note_fault{make_error_code(code), path};
        }
    }

    /// Faults an addition of what exists and a change of what does not.
    bool may_edit(change_op op, bool present, bool first) {
        if (!first) {
            this->fail(release_errc::duplicate_change);
        } else if (op == change_op::add && present) {
            this->fail(release_errc::already_exists);
        } else if (op != change_op::add && !present) {
            this->fail(release_errc::does_not_exist);
        }
        return !this->fault;
    }

    void edit(change_op op, const service_definition& wanted) {
        const auto found = this->next.services.find(wanted.service);
        const bool present = found != this->next.services.end();
        if (!this->may_edit(op, present, this->edited_services.insert(wanted.service).second)) {
            return;
        }
        if (op == change_op::withdraw) {
            this->next.services.erase(found);
            return;
        }
        const bool moved = present && (found->second.divided != wanted.divided ||
                                       found->second.partitions != wanted.partitions);
        if (moved) {
            this->fail(release_errc::fixed_property);
            return;
        }
        this->next.services[wanted.service] = wanted;
    }

    void edit(change_op op, const upstream_definition& wanted) {
        const auto found = this->next.servers.find(wanted.server);
        const bool present = found != this->next.servers.end();
        if (!this->may_edit(op, present, this->edited_servers.insert(wanted.server).second)) {
            return;
        }
        if (op == change_op::withdraw) {
            this->next.servers.erase(found);
            return;
        }
        if (present && found->second.service != wanted.service) {
            this->fail(release_errc::fixed_property);
            return;
        }
        this->next.servers[wanted.server] = wanted;
    }

    void edit(change_op op, const key_definition& wanted) {
        const auto found = this->next.keys.find(id_of(wanted));
        const bool listed = found != this->next.keys.end() && !found->second.withdrawn;
        const bool first = this->edited_keys.insert(id_of(wanted)).second;
        // A key exists without an entry, so a key that is not listed can be withdrawn.
        const bool withdrawn = found != this->next.keys.end() && found->second.withdrawn;
        const bool present = op == change_op::withdraw ? !withdrawn : listed;
        if (!this->may_edit(op, present, first)) {
            return;
        }
        key_definition entry = wanted;
        entry.withdrawn = op == change_op::withdraw;
        this->next.keys[id_of(wanted)] = entry;
    }

    void drop_keys_of_withdrawn_services() {
        for (const service_id& service : this->edited_services) {
            if (this->next.services.contains(service)) {
                continue;
            }
            auto entry = this->next.keys.lower_bound({service, std::string()});
            while (entry != this->next.keys.end() && entry->first.first == service) {
                entry = this->next.keys.erase(entry);
            }
        }
    }

    void check_counts() {
        if (this->next.services.size() > max_services || this->next.servers.size() > max_servers ||
            this->next.keys.size() > max_keys) {
            this->index = this->source.changes.size() - 1;
            this->fail(release_errc::too_many_entries);
        }
    }

    void collect_references() {
        for (const auto& [server, upstream] : this->next.servers) {
            this->services_with_servers.insert(upstream.service);
            ++this->address_uses[upstream.address];
        }
        for (const auto& [id, key] : this->next.keys) {
            if (key.pinned) {
                this->pinning_servers.insert(*key.pinned);
            }
        }
    }

    void check(change_op op, const service_definition& wanted) {
        if (op == change_op::withdraw && this->services_with_servers.contains(wanted.service)) {
            this->fail(release_errc::still_in_use);
        }
    }

    void check(change_op op, const upstream_definition& wanted) {
        if (op == change_op::withdraw) {
            if (this->pinning_servers.contains(wanted.server)) {
                this->fail(release_errc::still_in_use);
            }
            return;
        }
        const auto service = this->next.services.find(wanted.service);
        if (service == this->next.services.end()) {
            this->fail(release_errc::unknown_service);
        } else if (service->second.divided && !wanted.checks_grants) {
            // Takeovers and moves rely on the server to refuse a former dispatcher. Without that
            // check, a key could have two owners.
            this->fail(release_errc::unchecked_server);
        } else if (this->address_uses[wanted.address] > 1) {
            this->fail(release_errc::address_in_use);
        }
    }

    void check(change_op, const key_definition& wanted) {
        const auto service = this->next.services.find(wanted.service);
        if (service == this->next.services.end()) {
            this->fail(release_errc::unknown_service);
            return;
        }
        if (!service->second.divided) {
            this->fail(release_errc::not_divided);
            return;
        }
        if (!wanted.pinned) {
            return;
        }
        const auto server = this->next.servers.find(*wanted.pinned);
        if (server == this->next.servers.end() || server->second.service != wanted.service) {
            this->fail(release_errc::unknown_server);
        }
    }

    catalogue next;
    const note& source;
    std::size_t index = 0;
    std::optional<note_fault> fault;
    std::set<service_id> edited_services;
    std::set<server_id> edited_servers;
    std::set<key_id> edited_keys;
    std::set<service_id> services_with_servers;
    std::set<server_id> pinning_servers;
    std::map<std::string, std::size_t> address_uses;
};

/// Reads an array of entries into a map; a repeated id is a fault.
template <typename id_type, typename value_type, typename read_function, typename id_function>
void read_entries(object_reader& fields, const char* field, std::size_t max_count,
                  std::map<id_type, value_type>& entries, read_function read, id_function id) {
    const json* array = fields.array(field, max_count);
    if (array == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < array->size() && !fields.first_fault(); ++index) {
        object_reader nested((*array)[index], fields.path_of(field), fields.first_fault());
        value_type entry = read(nested);
        nested.finish();
        if (!entries.emplace(id(entry), entry).second) {
            nested.fail("id", release_errc::already_exists);
        }
    }
}

key_definition read_catalogue_key(object_reader& fields) {
    key_definition key = read_key(fields);
    key.withdrawn = fields.boolean("withdrawn");
    return key;
}

}  // namespace

std::variant<catalogue, note_fault> apply(const catalogue& current, const note& value) {
    if (value.base > current.number) {
        return note_fault{make_error_code(release_errc::out_of_range), "base_revision"};
    }
    if (value.base < current.number) {
        return note_fault{make_error_code(release_errc::base_superseded), "base_revision"};
    }
    return change_applier(current, value).run();
}

std::string encode(const catalogue& value) {
    json services = json::array();
    for (const auto& [id, service] : value.services) {
        services.push_back(to_json(service));
    }
    json servers = json::array();
    for (const auto& [id, upstream] : value.servers) {
        servers.push_back(to_json(upstream));
    }
    json keys = json::array();
    for (const auto& [id, key] : value.keys) {
        json object = to_json(key);
        object["withdrawn"] = key.withdrawn;
        keys.push_back(object);
    }
    json object = {{"revision", value.number.value()},
                   {"services", services},
                   {"upstreams", servers},
                   {"keys", keys}};
    if (!value.origin.empty()) {
        object["origin"] = value.origin;
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<catalogue> decode_catalogue(std::string_view text) {
    const auto parsed = parse_bounded(text, max_catalogue_text, max_catalogue_depth);
    if (!std::holds_alternative<json>(parsed)) {
        return make_error_code(release_errc::malformed_catalogue);
    }
    std::optional<note_fault> fault;
    object_reader fields(std::get<json>(parsed), "", fault);
    catalogue value;
    value.number =
        revision(fields.number("revision", 0, std::numeric_limits<std::uint64_t>::max()));
    if (fields.has("origin")) {
        value.origin = fields.text("origin", max_origin_length);
    }
    read_entries(fields, "services", max_services, value.services, read_service,
                 [](const service_definition& entry) { return entry.service; });
    read_entries(fields, "upstreams", max_servers, value.servers, read_upstream,
                 [](const upstream_definition& entry) { return entry.server; });
    read_entries(fields, "keys", max_keys, value.keys, read_catalogue_key, id_of);
    fields.finish();
    if (fault) {
        return make_error_code(release_errc::malformed_catalogue);
    }
    return value;
}

std::uint64_t digest_of(std::string_view catalogue_body) {
    return hash64(catalogue_body);
}

}  // namespace greengagechute::release
