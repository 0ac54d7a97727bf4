#include "admission/quarantine.h"

#include "base/hash.h"

#include <algorithm>

namespace greengagechute::admission {

namespace {

/// Servers that an entry names. More losses than that lie in between before one could count again.
constexpr std::size_t max_servers = 16;

void evict_least_important(quarantine_table& table) {
    // The entry with the fewest losses; of these, the one that ends first.
    const auto less = [](const auto& first, const auto& second) {
        if (first.second.losses != second.second.losses) {
            return first.second.losses < second.second.losses;
        }
        return first.second.forgotten_at < second.second.forgotten_at;
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
    if (found->second.forgotten_at <= now) {
        found->second = {};
    }
    return found->second;
}

/// Length of the present quarantine; before the first one, the time for which losses are
/// remembered.
milliseconds quarantine_length(const quarantine_limits& limits, std::uint32_t quarantines) {
    milliseconds length = limits.duration;
    for (std::uint32_t earlier = 1; earlier < quarantines && length < limits.longest; ++earlier) {
        length *= 2;
    }
    return std::min(length, limits.longest);
}

/// @return  time for which the request is refused, or the loss is remembered
milliseconds add_loss(const quarantine_limits& limits, quarantine_entry& entry, time_point now) {
    ++entry.losses;
    // Further losses in a quarantine are of attempts that were under way when it began.
    const bool tried_again = entry.losses > limits.losses && entry.until <= now;
    if (entry.losses == limits.losses || tried_again) {
        ++entry.quarantines;
    }
    const milliseconds length = quarantine_length(limits, entry.quarantines);
    entry.until = now + length;
    entry.forgotten_at = entry.until + limits.probation;
    return length;
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
    const milliseconds length = add_loss(table.limits, entry, now);
    return {fingerprint, entry.losses, length};
}

std::optional<loss_notice> record_loss(quarantine_table& table, std::uint64_t fingerprint,
                                       std::uint64_t server, time_point now) {
    quarantine_entry& entry = entry_of(table, fingerprint, now);
    if (std::find(entry.servers.begin(), entry.servers.end(), server) != entry.servers.end()) {
        return std::nullopt;
    }
    if (entry.servers.size() == max_servers) {
        entry.servers.erase(entry.servers.begin());
    }
    entry.servers.push_back(server);
    const milliseconds length = add_loss(table.limits, entry, now);
    return loss_notice{fingerprint, entry.losses, length};
}

bool forgive(quarantine_table& table, std::uint64_t fingerprint) {
    return table.entries.erase(fingerprint) > 0;
}

void import_notice(quarantine_table& table, const loss_notice& notice, time_point now) {
    if (notice.losses == 0 || notice.remaining <= milliseconds::zero()) {
        return;
    }
    quarantine_entry& entry = entry_of(table, notice.fingerprint, now);
    entry.losses = std::max(entry.losses, notice.losses);
    const milliseconds remaining = std::min(notice.remaining, table.limits.longest);
    entry.until = std::max(entry.until, now + remaining);
    entry.forgotten_at = entry.until + table.limits.probation;
}

milliseconds time_left(const quarantine_table& table, std::uint64_t fingerprint, time_point now) {
    const auto found = table.entries.find(fingerprint);
    if (found == table.entries.end() || found->second.losses < table.limits.losses) {
        return milliseconds::zero();
    }
    const time_point end = found->second.until + table.limits.stagger;
    return end > now ? std::chrono::ceil<milliseconds>(end - now) : milliseconds::zero();
}

bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now) {
    return time_left(table, fingerprint, now) > milliseconds::zero();
}

std::uint32_t losses_of(const quarantine_table& table, std::uint64_t fingerprint, time_point now) {
    const auto found = table.entries.find(fingerprint);
    return found != table.entries.end() && now < found->second.forgotten_at ? found->second.losses
                                                                            : 0;
}

void expire(quarantine_table& table, time_point now) {
    std::erase_if(table.entries,
                  [now](const auto& entry) { return entry.second.forgotten_at <= now; });
}

}  // namespace greengagechute::admission
