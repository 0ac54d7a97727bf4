#include "gateway/directory.h"

#include <algorithm>
#include <set>

namespace greengagechute::gateway {

namespace {

/// Stated warm-up times count from the arrival of their entries, which may take this much longer
/// for one entry than for another.
constexpr milliseconds max_arrival_difference{500};

/// Whether two entries of a server are equal apart from the remaining warm-up time, which counts
/// from the first of them.
bool same_registration(const server_entry& known, const server_entry& next) {
    return known.life == next.life && known.service == next.service &&
           known.address == next.address && known.data_centre == next.data_centre &&
           known.slots == next.slots && known.draining == next.draining;
}

}  // namespace

directory::directory(const directory_settings& initial) : settings(initial) {}

void directory::note_store_recovered(time_point when) {
    this->store_recovered_at = std::max(this->store_recovered_at.value_or(when), when);
}

void directory::remove(const server_id& id, time_point now) {
    if (this->store_recovered_at &&
        now < *this->store_recovered_at + this->settings.reregistration_time) {
        if (this->entries.contains(id)) {
            this->awaiting_reregistration.emplace(
                id, *this->store_recovered_at + this->settings.reregistration_time);
        }
        return;
    }
    this->entries.erase(id);
    this->cold_servers.erase(id);
    this->awaiting_reregistration.erase(id);
}

/// Whether the entry was copied before the server reported that it drains, or before it left, and
/// came back with the copy.
bool directory::is_older_copy(const server_change& change) const {
    const auto known = this->records.find(change.id);
    return change.entry && known != this->records.end() &&
           change.version.era > known->second.version.era &&
           change.entry->life == known->second.life &&
           change.entry->sequence <= known->second.sequence &&
           (known->second.removed || (known->second.draining && !change.entry->draining));
}

void directory::apply_one(const server_change& change, time_point now) {
    const auto last = this->last_changed_version.find(change.id);
    if (last != this->last_changed_version.end() && change.version < last->second) {
        return;
    }
    this->delayed.erase(change.id);
    if (this->is_older_copy(change)) {
        if (this->records.at(change.id).removed) {
            // Only the store's removal tells a server that has ended from one that is alive, since
            // a report that says nothing new does not change the entry.
            this->delayed[change.id] = {change, now + this->settings.restored_entry_delay};
        }
        return;
    }
    const server_entry* const known = this->find(change.id);
    if (change.entry && known != nullptr && same_registration(*known, *change.entry) &&
        !this->awaiting_reregistration.contains(change.id) && !this->is_cold_anew(change, now)) {
        return;
    }
    this->accept(change, now);
}

/// Whether the server says that it will be cold for longer than it was known to be: it has become
/// cold again.
bool directory::is_cold_anew(const server_change& change, time_point now) const {
    const auto known = this->last_changed_version.find(change.id);
    return change.entry->warmup_left > milliseconds{0} &&
           (known == this->last_changed_version.end() || known->second < change.version) &&
           now + change.entry->warmup_left > this->cold_until(change.id) + max_arrival_difference;
}

void directory::note_warmup(const server_id& id, milliseconds left, time_point now) {
    if (left > milliseconds{0}) {
        this->cold_servers[id] = now + left;
    } else {
        this->cold_servers.erase(id);
    }
}

time_point directory::cold_until(const server_id& id) const {
    const auto found = this->cold_servers.find(id);
    return found == this->cold_servers.end() ? time_point{} : found->second;
}

void directory::accept(const server_change& change, time_point now) {
    store_version& changed = this->last_changed_version[change.id];
    // At most one removal per server is kept, also if it is repeated or the server comes back.
    const auto [first, last] = this->removed.equal_range(changed);
    const auto before = std::find_if(
        first, last, [&change](const auto& removal) { return removal.second == change.id; });
    if (before != last) {
        this->removed.erase(before);
    }
    changed = change.version;
    record& known = this->records[change.id];
    known.version = change.version;
    known.removed = !change.entry.has_value();
    if (change.entry) {
        known.life = change.entry->life;
        known.sequence = change.entry->sequence;
        known.draining = change.entry->draining;
        this->entries[change.id] = *change.entry;
        this->note_warmup(change.id, change.entry->warmup_left, now);
        this->awaiting_reregistration.erase(change.id);
    } else {
        this->remove(change.id, now);
        this->removed.emplace(change.version, change.id);
        this->prune_removed();
    }
}

void directory::prune_removed() {
    while (this->removed.size() > this->settings.max_removed) {
        const auto oldest = this->removed.begin();
        this->oldest_complete_version = std::max(this->oldest_complete_version, oldest->first);
        this->last_changed_version.erase(oldest->second);
        this->records.erase(oldest->second);
        this->removed.erase(oldest);
    }
}

void directory::apply(const std::vector<server_change>& changes, store_version version,
                      time_point now) {
    for (const server_change& change : changes) {
        this->apply_one(change, now);
    }
    this->known_version = std::max(this->known_version, version);
}

void directory::replace(const std::vector<server_change>& current, store_version version,
                        time_point now) {
    if (!this->has_content || version.era != this->known_version.era) {
        this->oldest_complete_version = version;
    }
    this->has_content = true;
    std::set<server_id> present;
    for (const server_change& change : current) {
        if (change.entry) {
            present.insert(change.id);
        }
    }
    std::erase_if(this->delayed,
                  [&present](const auto& entry) { return !present.contains(entry.first); });
    std::vector<server_change> changes = current;
    for (const auto& [id, entry] : this->entries) {
        if (!present.contains(id)) {
            changes.push_back({id, std::nullopt, version});
        }
    }
    this->apply(changes, version, now);
}

void directory::apply(const directory_update& update, time_point now) {
    if (update.regained_before) {
        this->note_store_recovered(now - *update.regained_before);
    }
    this->apply(update.changes, update.version, now);
}

std::optional<directory_update> directory::changes_since(store_version version,
                                                         time_point now) const {
    if (!this->has_content || version < this->oldest_complete_version ||
        version.era != this->known_version.era) {
        return std::nullopt;
    }
    directory_update update;
    update.version = this->known_version;
    if (this->store_recovered_at &&
        now < *this->store_recovered_at + this->settings.reregistration_time) {
        update.regained_before = std::chrono::ceil<milliseconds>(now - *this->store_recovered_at);
    }
    for (const auto& [id, entry] : this->entries) {
        if (!this->awaiting_reregistration.contains(id) &&
            this->last_changed_version.at(id) > version) {
            update.changes.push_back({id, entry, this->last_changed_version.at(id)});
            // The time that the server has stated counts from the arrival of its entry here.
            const time_point cold_end = this->cold_until(id);
            update.changes.back().entry->warmup_left =
                cold_end > now ? std::chrono::ceil<milliseconds>(cold_end - now) : milliseconds{0};
        }
    }
    for (auto gone = this->removed.upper_bound(version); gone != this->removed.end(); ++gone) {
        update.changes.push_back({gone->second, std::nullopt, gone->first});
    }
    return update;
}

bool directory::expire(time_point now) {
    bool expired = false;
    for (auto entry = this->awaiting_reregistration.begin();
         entry != this->awaiting_reregistration.end();) {
        if (entry->second <= now) {
            this->entries.erase(entry->first);
            this->cold_servers.erase(entry->first);
            entry = this->awaiting_reregistration.erase(entry);
            expired = true;
        } else {
            ++entry;
        }
    }
    std::vector<server_change> usable;
    for (const auto& [id, entry] : this->delayed) {
        if (entry.usable_at <= now) {
            usable.push_back(entry.change);
        }
    }
    for (const server_change& change : usable) {
        this->delayed.erase(change.id);
        this->accept(change, now);
    }
    return expired || !usable.empty();
}

const server_entry* directory::find(const server_id& id) const {
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

}  // namespace greengagechute::gateway
