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
    ranges::server_life life;
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
};

struct directory_settings {
    /// After an outage of the store, entries that lapsed meanwhile are back within about two
    /// seconds (users' second letter); less the time in which a request may be on its way.
    milliseconds return_time{1'900};
};

/// Servers that have registered.
class directory {
public:
    explicit directory(const directory_settings& settings);

    /// Changes as they arrive.
    /// @param after_outage  the store has just become reachable again
    void apply(const std::vector<server_change>& changes, bool after_outage, time_point now);
    /// All entries of the store; others have left.
    void replace(const std::vector<server_entry>& entries, bool after_outage, time_point now);
    /// Removes entries whose return was awaited in vain; true if there was one.
    bool expire(time_point now);
    /// The entry lapsed during an outage of the store and is not back yet.
    bool is_awaited(const server_id& id) const { return this->awaited.contains(id); }
    const server_entry* find(const server_id& id) const;
    const std::map<server_id, server_entry>& servers() const { return this->entries; }
    bool loaded() const { return this->has_content; }

private:
    void remove(const server_id& id, bool after_outage, time_point now);

    directory_settings settings;
    std::map<server_id, server_entry> entries;
    std::map<server_id, time_point> awaited;
    time_point outage_ended;
    bool had_outage = false;
    bool has_content = false;
};

}  // namespace greengagechute::gateway
