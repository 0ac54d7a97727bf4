#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/store_version.h"
#include "ranges/range_table.h"
#include "wire/stream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagechute::gateway {

/// Upper bounds of a registration. They are far above what servers have, and keep the products and
/// sums made of the values within their types.
inline constexpr int max_server_slots = 10'000;
inline constexpr milliseconds max_warmup = std::chrono::hours{1};
/// End of the year 9999 in Unix milliseconds.
inline constexpr std::uint64_t max_start_time_ms = 253'402'300'799'999;

/// Registration of a server.
struct server_entry {
    ranges::server_instance life;
    service_id service;
    wire::endpoint address;
    data_centre_id data_centre;
    /// Number of requests that it processes concurrently.
    int slots = 1;
    bool draining = false;
    /// Counts the reports of the server instance, up to the one that last changed the entry.
    std::uint64_t sequence = 0;
    /// Remaining time during which the server is slow after its start, counted from the arrival of
    /// the entry.
    milliseconds warmup_left{0};
};

/// Change of a server's registration; without `entry`, the server has left.
struct server_change {
    server_id id;
    std::optional<server_entry> entry;
    /// Store version of the change.
    store_version version;
};

/// Incremental update for a host whose directory has an older version.
struct directory_update {
    /// Store version up to which `changes` is complete.
    store_version version;
    /// Time since the store last confirmed that there was no later change.
    milliseconds age{0};
    /// Time since the store became reachable again; set only while servers whose entries lapsed may
    /// still register again.
    std::optional<milliseconds> regained_before;
    std::vector<server_change> changes;
};

struct directory_settings {
    /// Time after an outage of the store during which lapsed entries are kept. Servers register
    /// again within about two seconds, according to the platform's users; the time that a request
    /// may take in transit is subtracted.
    milliseconds reregistration_time{1'900};
    /// Time for which an entry of a server that had gone is not used after the store came back from
    /// an older copy. The store removes such entries after three heartbeat intervals of silence.
    milliseconds restored_entry_delay{4'000};
    /// Number of removals that are kept for updates to other hosts: several times the number of
    /// servers that leave in the largest deployment within the 20 s of the store's history.
    std::size_t max_removed = 512;
};

/// Registered servers, replicated from the store or from another host.
class directory {
public:
    explicit directory(const directory_settings& settings);

    /// Applies changes; skips those that are older than the last known change of the same server.
    /// @param version  store version up to which `changes` is complete
    void apply(const std::vector<server_change>& changes, store_version version, time_point now);
    /// Replaces the content by a snapshot of the store at `version`; servers that aren't in
    /// `entries` are removed.
    void replace(const std::vector<server_change>& entries, store_version version, time_point now);
    /// Records that the store became reachable again. For `reregistration_time` from then on,
    /// removed entries are kept, as their servers may register again.
    void note_store_recovered(time_point when);
    /// Changes after a store version; there are none if it is newer than the directory. Empty if
    /// nothing has been loaded, if the version is older than the kept history of removals, or if it
    /// is of another era than the directory.
    std::optional<directory_update> changes_since(store_version version, time_point now) const;
    void apply(const directory_update& update, time_point now);
    /// Store version up to which the directory is complete.
    store_version version() const { return this->known_version; }
    /// Removes entries whose servers haven't registered again in time, and adds entries of restored
    /// stores that have proved to be of live servers.
    /// @return  whether any was removed or added
    bool expire(time_point now);
    /// Whether the server's entry lapsed during an outage of the store and the server hasn't
    /// registered again yet.
    bool awaits_reregistration(const server_id& id) const {
        return this->awaiting_reregistration.contains(id);
    }
    /// End of the time for which the server has said that it is cold, counted from the arrival of
    /// its entry; the epoch if it has never said so.
    time_point cold_until(const server_id& id) const;
    /// nullptr if there is none.
    const server_entry* find(const server_id& id) const;
    const std::map<server_id, server_entry>& servers() const { return this->entries; }
    /// Whether `replace` has been called.
    bool loaded() const { return this->has_content; }

private:
    /// What was last known of a server, also after it has left.
    struct record {
        ranges::server_instance life;
        std::uint64_t sequence = 0;
        bool draining = false;
        bool removed = false;
        store_version version;
    };
    /// An entry that is used if the store still has it at a later time.
    struct delayed_entry {
        server_change change;
        time_point usable_at;
    };

    bool is_cold_anew(const server_change& change, time_point now) const;
    void note_warmup(const server_id& id, milliseconds left, time_point now);
    void apply_one(const server_change& change, time_point now);
    bool is_older_copy(const server_change& change) const;
    /// Records a change that is newer than the last known one of the same server.
    void accept(const server_change& change, time_point now);
    void remove(const server_id& id, time_point now);
    void prune_removed();

    directory_settings settings;
    std::map<server_id, server_entry> entries;
    std::map<server_id, time_point> cold_servers;
    /// Entries that lapsed, and when they expire.
    std::map<server_id, time_point> awaiting_reregistration;
    /// Store version of the last change of each server, including removed ones.
    std::map<server_id, store_version> last_changed_version;
    std::map<server_id, record> records;
    std::map<server_id, delayed_entry> delayed;
    /// Servers that are no longer in the store, by the store version of their removal.
    std::multimap<store_version, server_id> removed;
    store_version known_version;
    /// Removals up to this version may be missing from `removed`.
    store_version oldest_complete_version;
    std::optional<time_point> store_recovered_at;
    bool has_content = false;
};

}  // namespace greengagechute::gateway
