#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "ranges/range_table.h"
#include "wire/stream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagechute::gateway {

/// What a server says of itself.
struct server_entry {
    ranges::server_instance life;
    service_id service;
    wire::endpoint address;
    data_centre_id data_centre;
    /// Requests that it runs at the same time.
    int slots = 1;
    bool draining = false;
    /// Time for which the server stays slow after its start, from the entry's arrival.
    milliseconds warmup_left{0};
};

/// A change of the directory: an entry, or none for a server that has left.
struct server_change {
    server_id id;
    std::optional<server_entry> entry;
    /// Version of the store in which it changed.
    std::uint64_t version = 0;
};

/// What one host tells another that knows the directory up to an older version.
struct directory_update {
    /// Version of the store up to which `changes` is complete.
    std::uint64_t version = 0;
    /// Time since the store last said that it had no later change.
    milliseconds age{0};
    /// Time since the store was regained, as long as lapsed entries may still come back.
    std::optional<milliseconds> regained_before;
    std::vector<server_change> changes;
};

struct directory_settings {
    /// After an outage of the store, entries that lapsed meanwhile are back within about two
    /// seconds (users' second letter); less the time in which a request may be on its way.
    milliseconds return_time{1'900};
    /// Servers that have left and are remembered, so that other hosts can be told: several times
    /// the servers of the largest deployment that leave within the 20 s of the store's history.
    std::size_t most_removed = 512;
};

/// Servers that have registered.
class directory {
public:
    explicit directory(const directory_settings& settings);

    /// Changes as they arrive. Those that are older than what is known of a server are skipped.
    /// @param version  version of the store up to which they are complete
    void apply(const std::vector<server_change>& changes, std::uint64_t version, time_point now);
    /// All entries of the store at a version; others have left.
    void replace(const std::vector<server_change>& entries, std::uint64_t version, time_point now);
    /// The store became reachable again; entries that are missing then may still come back.
    void note_regained(time_point when);
    /// Changes after a version, none if it is newer than what is known here; empty if it is too old
    /// to tell.
    std::optional<directory_update> changes_since(std::uint64_t version, time_point now) const;
    void apply(const directory_update& update, time_point now);
    /// Version of the store up to which the directory is complete.
    std::uint64_t version() const { return this->known_version; }
    /// Removes entries whose return was awaited in vain; true if there was one.
    bool expire(time_point now);
    /// The entry lapsed during an outage of the store and is not back yet.
    bool is_awaited(const server_id& id) const { return this->awaited.contains(id); }
    const server_entry* find(const server_id& id) const;
    const std::map<server_id, server_entry>& servers() const { return this->entries; }
    bool loaded() const { return this->has_content; }

private:
    void apply_one(const server_change& change, time_point now);
    void remove(const server_id& id, time_point now);
    void forget_oldest_removed();

    directory_settings settings;
    std::map<server_id, server_entry> entries;
    std::map<server_id, time_point> awaited;
    /// Last change of each server, also of those that have left.
    std::map<server_id, std::uint64_t> changed_at;
    /// Servers that are not in the store any more, by the version of their removal.
    std::multimap<std::uint64_t, server_id> removed;
    std::uint64_t known_version = 0;
    /// Removals up to this version may be missing from `removed`.
    std::uint64_t oldest_version = 0;
    std::optional<time_point> regained;
    bool has_content = false;
};

}  // namespace greengagechute::gateway
