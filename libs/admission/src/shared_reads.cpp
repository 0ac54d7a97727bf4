#include "admission/shared_reads.h"

#include "base/hash.h"

#include <algorithm>

namespace greengagechute::admission {

namespace {

using read_map = decltype(shared_read_table::reads);

std::size_t buffered_size(const shared_read& read) {
    return static_cast<std::size_t>(read.received - read.buffered_from);
}

auto find_caller(shared_read& read, request_id request) {
    return std::find_if(
        read.callers.begin(), read.callers.end(),
        [request](const shared_caller& caller) { return caller.request == request; });
}

auto slowest_caller(shared_read& read) {
    return std::min_element(read.callers.begin(), read.callers.end(),
                            [](const shared_caller& first, const shared_caller& second) {
                                return first.delivered_bytes < second.delivered_bytes;
                            });
}

/// Releases the bytes that were delivered to all remaining callers.
void release_bytes(shared_read_table& table, shared_read& read) {
    const std::uint64_t needed_from =
        read.callers.empty() ? read.received : slowest_caller(read)->delivered_bytes;
    table.buffered_bytes -= static_cast<std::size_t>(needed_from - read.buffered_from);
    read.buffered_from = needed_from;
}

void erase_read(shared_read_table& table, read_map::iterator found) {
    table.buffered_bytes -= buffered_size(found->second);
    table.reads.erase(found);
}

/// Removes the callers that have the whole response, and the read with the last of them.
void erase_if_delivered(shared_read_table& table, read_map::iterator found) {
    shared_read& read = found->second;
    if (!read.complete) {
        return;
    }
    std::erase_if(read.callers, [&read](const shared_caller& caller) {
        return caller.delivered_bytes == read.received;
    });
    if (read.callers.empty()) {
        erase_read(table, found);
    }
}

bool exceeds_limits(const shared_read_table& table, const shared_read& read) {
    return buffered_size(read) > table.limits.bytes_per_read ||
           table.buffered_bytes > table.limits.total_bytes;
}

bool may_join(const shared_read_table& table, const shared_read& read) {
    // The limits don't apply to a single caller, so a read may exceed them before others join.
    return !read.complete && read.buffered_from == 0 && !exceeds_limits(table, read) &&
           read.callers.size() < table.limits.callers_per_read;
}

std::size_t write_counter(const service_id& service, std::string_view key) {
    return hash64_pair(service.value(), key) % write_counters;
}

}  // namespace

shared_read_table make_shared_read_table(const shared_read_limits& limits) {
    shared_read_table table;
    table.limits = limits;
    return table;
}

void record_write(shared_read_table& table, const service_id& service, std::string_view key) {
    ++table.writes[write_counter(service, key)];
}

std::uint64_t read_key(const shared_read_table& table, const service_id& service,
                       std::string_view key, std::string_view method, std::string_view target,
                       std::string_view variant) {
    // Each hash seeds the next, so that the boundaries between the parts matter.
    std::uint64_t hash = hash64(service.value(), table.writes[write_counter(service, key)]);
    hash = hash64(key, hash);
    hash = hash64(method, hash);
    hash = hash64(target, hash);
    return hash64(variant, hash);
}

read_role join_read(shared_read_table& table, std::uint64_t key, request_id request) {
    if (!table.limits.enabled) {
        return read_role::unshared;
    }
    const auto found = table.reads.find(key);
    if (found != table.reads.end()) {
        if (!may_join(table, found->second)) {
            return read_role::unshared;
        }
        found->second.callers.push_back({request, 0});
        return read_role::follower;
    }
    if (table.reads.size() >= table.limits.reads) {
        return read_role::unshared;
    }
    shared_read& read = table.reads[key];
    read.leader = request;
    read.callers.push_back({request, 0});
    return read_role::leader;
}

std::vector<request_id> record_received_bytes(shared_read_table& table, std::uint64_t key,
                                              std::uint64_t bytes) {
    const auto found = table.reads.find(key);
    if (found == table.reads.end()) {
        return {};
    }
    shared_read& read = found->second;
    read.received += bytes;
    table.buffered_bytes += static_cast<std::size_t>(bytes);
    std::vector<request_id> dropped;
    // The last caller stays: its back-pressure throttles the server.
    while (exceeds_limits(table, read) && read.callers.size() > 1) {
        const auto slowest = slowest_caller(read);
        dropped.push_back(slowest->request);
        read.callers.erase(slowest);
        release_bytes(table, read);
    }
    return dropped;
}

std::uint64_t record_delivered_bytes(shared_read_table& table, std::uint64_t key,
                                     request_id request, std::uint64_t bytes) {
    const auto found = table.reads.find(key);
    if (found == table.reads.end()) {
        return 0;
    }
    shared_read& read = found->second;
    const auto caller = find_caller(read, request);
    if (caller != read.callers.end()) {
        caller->delivered_bytes = std::min(caller->delivered_bytes + bytes, read.received);
        release_bytes(table, read);
    }
    const std::uint64_t released = read.buffered_from;
    erase_if_delivered(table, found);
    return released;
}

bool leave_read(shared_read_table& table, std::uint64_t key, request_id request) {
    const auto found = table.reads.find(key);
    if (found == table.reads.end()) {
        return false;
    }
    shared_read& read = found->second;
    const auto caller = find_caller(read, request);
    if (caller == read.callers.end()) {
        return false;
    }
    read.callers.erase(caller);
    if (!read.callers.empty()) {
        release_bytes(table, read);
        return false;
    }
    const bool running = !read.complete;
    erase_read(table, found);
    return running;
}

void complete_read(shared_read_table& table, std::uint64_t key) {
    const auto found = table.reads.find(key);
    if (found == table.reads.end()) {
        return;
    }
    found->second.complete = true;
    erase_if_delivered(table, found);
}

std::vector<request_id> fail_read(shared_read_table& table, std::uint64_t key) {
    const auto found = table.reads.find(key);
    if (found == table.reads.end()) {
        return {};
    }
    std::vector<request_id> callers;
    for (const shared_caller& caller : found->second.callers) {
        callers.push_back(caller.request);
    }
    erase_read(table, found);
    return callers;
}

}  // namespace greengagechute::admission
