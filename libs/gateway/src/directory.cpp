#include "gateway/directory.h"

#include <algorithm>
#include <set>

namespace greengagechute::gateway {

namespace {

/// Whether two entries of a server differ in nothing but the rest of its warm-up, which counts from
/// its first entry.
bool are_alike(const server_entry& known, const server_entry& next) {
    return known.life == next.life && known.service == next.service &&
           known.address == next.address && known.data_centre == next.data_centre &&
           known.slots == next.slots && known.draining == next.draining;
}

}  // namespace

directory::directory(const directory_settings& initial) : settings(initial) {}

void directory::note_store_recovered(time_point when) {
    this->regained = std::max(this->regained.value_or(when), when);
}

void directory::remove(const server_id& id, time_point now) {
    if (this->regained && now < *this->regained + this->settings.reregistration_time) {
        if (this->entries.contains(id)) {
            this->awaited.emplace(id, *this->regained + this->settings.reregistration_time);
        }
        return;
    }
    this->entries.erase(id);
    this->awaited.erase(id);
}

void directory::apply_one(const server_change& change, time_point now) {
    std::uint64_t& changed = this->changed_at[change.id];
    if (change.version < changed) {
        return;
    }
    const server_entry* const known = this->find(change.id);
    if (change.entry && known != nullptr && are_alike(*known, *change.entry) &&
        !this->awaited.contains(change.id)) {
        return;
    }
    // A removal that is repeated, or followed by a return, is remembered once at most.
    const auto [first, last] = this->removed.equal_range(changed);
    const auto before = std::find_if(
        first, last, [&change](const auto& removal) { return removal.second == change.id; });
    if (before != last) {
        this->removed.erase(before);
    }
    changed = change.version;
    if (change.entry) {
        this->entries[change.id] = *change.entry;
        this->awaited.erase(change.id);
    } else {
        this->remove(change.id, now);
        this->removed.emplace(change.version, change.id);
        this->forget_oldest_removed();
    }
}

void directory::forget_oldest_removed() {
    while (this->removed.size() > this->settings.max_removed) {
        const auto oldest = this->removed.begin();
        this->oldest_version = std::max(this->oldest_version, oldest->first);
        this->changed_at.erase(oldest->second);
        this->removed.erase(oldest);
    }
}

void directory::apply(const std::vector<server_change>& changes, std::uint64_t version,
                      time_point now) {
    for (const server_change& change : changes) {
        this->apply_one(change, now);
    }
    this->known_version = std::max(this->known_version, version);
}

void directory::replace(const std::vector<server_change>& current, std::uint64_t version,
                        time_point now) {
    if (!this->has_content) {
        this->oldest_version = version;
    }
    this->has_content = true;
    std::set<server_id> present;
    for (const server_change& change : current) {
        if (change.entry) {
            present.insert(change.id);
        }
    }
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

std::optional<directory_update> directory::changes_since(std::uint64_t version,
                                                         time_point now) const {
    if (!this->has_content || version < this->oldest_version) {
        return std::nullopt;
    }
    directory_update update;
    update.version = this->known_version;
    if (this->regained && now < *this->regained + this->settings.reregistration_time) {
        update.regained_before = std::chrono::ceil<milliseconds>(now - *this->regained);
    }
    for (const auto& [id, entry] : this->entries) {
        if (!this->awaited.contains(id) && this->changed_at.at(id) > version) {
            update.changes.push_back({id, entry, this->changed_at.at(id)});
        }
    }
    for (auto gone = this->removed.upper_bound(version); gone != this->removed.end(); ++gone) {
        update.changes.push_back({gone->second, std::nullopt, gone->first});
    }
    return update;
}

bool directory::expire(time_point now) {
    bool expired = false;
    for (auto entry = this->awaited.begin(); entry != this->awaited.end();) {
        if (entry->second <= now) {
            this->entries.erase(entry->first);
            entry = this->awaited.erase(entry);
            expired = true;
        } else {
            ++entry;
        }
    }
    return expired;
}

const server_entry* directory::find(const server_id& id) const {
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

}  // namespace greengagechute::gateway
