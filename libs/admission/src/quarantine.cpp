#include "admission/quarantine.h"

#include "base/hash.h"

#include <algorithm>

namespace greengagechute::admission {

namespace {

void evict_least_important(quarantine_table& table) {
    // The entry with the fewest losses; of these, the one that ends first.
    const auto less = [](const auto& first, const auto& second) {
        if (first.second.losses != second.second.losses) {
            return first.second.losses < second.second.losses;
        }
        return first.second.until < second.second.until;
    };
    const auto least = std::min_element(table.entries.begin(), table.entries.end(), less);
    table.entries.erase(least);
}

void make_room(quarantine_table& table, time_point now) {
    if (table.entries.size() < table.limits.entries) {
        return;
    }
    expire(table, now);
    if (table.entries.size() >= table.limits.entries && !table.entries.empty()) {
        evict_least_important(table);
    }
}

quarantine_entry& entry_of(quarantine_table& table, std::uint64_t fingerprint, time_point now) {
    const auto found = table.entries.find(fingerprint);
    if (found == table.entries.end()) {
        make_room(table, now);
        return table.entries[fingerprint];
    }
    if (found->second.until <= now) {
        found->second = {};
    }
    return found->second;
}

}  // namespace

std::uint64_t fingerprint_of(const service_id& service, std::string_view key,
                             std::string_view method, std::string_view target,
                             std::string_view body) {
    // Each hash seeds the next, so that the boundaries between the parts matter.
    std::uint64_t hash = hash64(service.value());
    hash = hash64(key, hash);
    hash = hash64(method, hash);
    hash = hash64(target, hash);
    return hash64(body, hash);
}

quarantine_table make_quarantine_table(const quarantine_limits& limits) {
    return {limits, {}};
}

loss_notice record_loss(quarantine_table& table, std::uint64_t fingerprint, time_point now) {
    quarantine_entry& entry = entry_of(table, fingerprint, now);
    ++entry.losses;
    entry.until = now + table.limits.duration;
    return {fingerprint, entry.losses, table.limits.duration};
}

void import_notice(quarantine_table& table, const loss_notice& notice, time_point now) {
    if (notice.losses == 0 || notice.remaining <= milliseconds::zero()) {
        return;
    }
    quarantine_entry& entry = entry_of(table, notice.fingerprint, now);
    entry.losses = std::max(entry.losses, notice.losses);
    const milliseconds remaining = std::min(notice.remaining, table.limits.duration);
    entry.until = std::max(entry.until, now + remaining);
}

bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now) {
    const auto found = table.entries.find(fingerprint);
    return found != table.entries.end() && found->second.losses >= table.limits.losses &&
           now < found->second.until;
}

void expire(quarantine_table& table, time_point now) {
    std::erase_if(table.entries, [now](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace greengagechute::admission
