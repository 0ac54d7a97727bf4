#include "membership/roster.h"

#include "json_fields.h"
#include "membership/errors.h"

#include <algorithm>
#include <utility>

namespace greengagechute::membership {

namespace {

using nlohmann::json;

json encode_instance(const host_instance& instance) {
    return {{"host", instance.host.value()}, {"incarnation", instance.instance.value()}};
}

host_instance decode_instance(const json& object, bool& valid) {
    host_instance instance;
    instance.host = host_id(read_name(object, "host", valid));
    instance.instance = incarnation(read_number(object, "incarnation", valid));
    return instance;
}

json encode_host(const roster_host& host) {
    json object = encode_instance(host.instance);
    object["address"] = host.address;
    object["region"] = host.region.value();
    object["data_centre"] = host.data_centre.value();
    object["draining"] = host.draining;
    object["since"] = host.since.value();
    return object;
}

roster_host decode_host(const json& object, bool& valid) {
    roster_host host;
    host.instance = decode_instance(object, valid);
    host.address = read_name(object, "address", valid);
    host.region = region_id(read_name(object, "region", valid));
    host.data_centre = data_centre_id(read_name(object, "data_centre", valid));
    host.since = roster_version(read_number(object, "since", valid));
    const auto draining = object.find("draining");
    valid = valid && draining != object.end() && draining->is_boolean();
    host.draining = valid && draining->get<bool>();
    return host;
}

bool by_host(const roster_host& left, const roster_host& right) {
    return left.instance.host < right.instance.host;
}

bool strictly_sorted(const std::vector<roster_host>& hosts) {
    const auto not_before = [](const roster_host& left, const roster_host& right) {
        return !by_host(left, right);
    };
    return std::adjacent_find(hosts.begin(), hosts.end(), not_before) == hosts.end();
}

bool is_valid(const roster_host& host) {
    return is_name(host.instance.host.value()) && is_name(host.address) &&
           is_name(host.region.value()) && is_name(host.data_centre.value());
}

std::vector<roster_host>::iterator position_of(roster& value, const host_id& host) {
    const auto before = [](const roster_host& entry, const host_id& wanted) {
        return entry.instance.host < wanted;
    };
    return std::lower_bound(value.hosts.begin(), value.hosts.end(), host, before);
}

roster next_version(const roster& value) {
    roster next = value;
    next.version = value.version.next();
    next.removed.clear();
    return next;
}

}  // namespace

std::string encode(const roster& value) {
    json hosts = json::array();
    for (const roster_host& host : value.hosts) {
        hosts.push_back(encode_host(host));
    }
    json removed = json::array();
    for (const host_instance& instance : value.removed) {
        removed.push_back(encode_instance(instance));
    }
    const json object = {
        {"version", value.version.value()}, {"hosts", hosts}, {"removed", removed}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<roster> decode_roster(std::string_view text) {
    if (text.size() > max_roster_text) {
        return make_error_code(membership_errc::roster_full);
    }
    const json object = parse_json(text);
    if (!object.is_object()) {
        return make_error_code(membership_errc::malformed_roster);
    }
    const auto hosts = object.find("hosts");
    const auto removed = object.find("removed");
    if (hosts == object.end() || !hosts->is_array() || removed == object.end() ||
        !removed->is_array()) {
        return make_error_code(membership_errc::malformed_roster);
    }
    if (hosts->size() > max_roster_hosts || removed->size() > max_roster_hosts) {
        return make_error_code(membership_errc::roster_full);
    }
    bool valid = true;
    roster value;
    value.version = roster_version(read_number(object, "version", valid));
    for (const json& host : *hosts) {
        value.hosts.push_back(decode_host(host, valid));
    }
    for (const json& instance : *removed) {
        value.removed.push_back(decode_instance(instance, valid));
    }
    if (!valid || !strictly_sorted(value.hosts)) {
        return make_error_code(membership_errc::malformed_roster);
    }
    return value;
}

const roster_host* find(const roster& value, const host_id& host) {
    const auto before = [](const roster_host& entry, const host_id& wanted) {
        return entry.instance.host < wanted;
    };
    const auto found = std::lower_bound(value.hosts.begin(), value.hosts.end(), host, before);
    const bool present = found != value.hosts.end() && found->instance.host == host;
    return present ? &*found : nullptr;
}

bool contains(const roster& value, const host_instance& instance) {
    const roster_host* host = find(value, instance.host);
    return host != nullptr && host->instance == instance;
}

std::size_t majority_of(std::size_t count) {
    return count / 2 + 1;
}

result<roster> join(const roster& value, const roster_host& host) {
    if (!is_valid(host)) {
        return make_error_code(membership_errc::malformed_roster);
    }
    if (contains(value, host.instance)) {
        return make_error_code(membership_errc::duplicate_host);
    }
    roster next = next_version(value);
    const auto position = position_of(next, host.instance.host);
    roster_host added = host;
    added.since = next.version;
    if (position != next.hosts.end() && position->instance.host == host.instance.host) {
        next.removed.push_back(position->instance);
        *position = std::move(added);
        return next;
    }
    if (next.hosts.size() >= max_roster_hosts) {
        return make_error_code(membership_errc::roster_full);
    }
    next.hosts.insert(position, std::move(added));
    return next;
}

result<roster> leave(const roster& value, const host_instance& instance) {
    return remove(value, {instance});
}

result<roster> remove(const roster& value, const std::vector<host_instance>& instances) {
    roster next = next_version(value);
    for (const host_instance& instance : instances) {
        if (!contains(next, instance)) {
            return make_error_code(membership_errc::unknown_host);
        }
        next.hosts.erase(position_of(next, instance.host));
        next.removed.push_back(instance);
    }
    return next;
}

result<roster> set_draining(const roster& value, const host_instance& instance, bool draining) {
    if (!contains(value, instance)) {
        return make_error_code(membership_errc::unknown_host);
    }
    roster next = next_version(value);
    position_of(next, instance.host)->draining = draining;
    return next;
}

std::vector<host_instance> previous_members(const roster& value) {
    std::vector<host_instance> members = value.removed;
    for (const roster_host& host : value.hosts) {
        if (host.since < value.version) {
            members.push_back(host.instance);
        }
    }
    return members;
}

}  // namespace greengagechute::membership
