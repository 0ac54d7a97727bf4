#include "gateway/directory.h"

#include <set>

namespace greengagechute::gateway {

directory::directory(const directory_settings& initial) : settings(initial) {}

void directory::remove(const server_id& id, bool after_outage, time_point now) {
    if (after_outage) {
        this->had_outage = true;
        this->outage_ended = now;
    }
    if (this->had_outage && now < this->outage_ended + this->settings.return_time) {
        if (this->entries.contains(id)) {
            this->awaited.emplace(id, this->outage_ended + this->settings.return_time);
        }
        return;
    }
    this->entries.erase(id);
    this->awaited.erase(id);
}

void directory::apply(const std::vector<server_change>& changes, bool after_outage,
                      time_point now) {
    for (const server_change& change : changes) {
        if (change.entry) {
            this->entries[change.id] = *change.entry;
            this->awaited.erase(change.id);
        } else {
            this->remove(change.id, after_outage, now);
        }
    }
}

void directory::replace(const std::vector<server_entry>& current, bool after_outage,
                        time_point now) {
    this->has_content = true;
    std::set<server_id> present;
    for (const server_entry& entry : current) {
        present.insert(entry.life.id);
        this->entries[entry.life.id] = entry;
        this->awaited.erase(entry.life.id);
    }
    std::vector<server_id> missing;
    for (const auto& [id, entry] : this->entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const server_id& id : missing) {
        this->remove(id, after_outage, now);
    }
}

bool directory::expire(time_point now) {
    bool removed = false;
    for (auto entry = this->awaited.begin(); entry != this->awaited.end();) {
        if (entry->second <= now) {
            this->entries.erase(entry->first);
            entry = this->awaited.erase(entry);
            removed = true;
        } else {
            ++entry;
        }
    }
    return removed;
}

const server_entry* directory::find(const server_id& id) const {
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

}  // namespace greengagechute::gateway
