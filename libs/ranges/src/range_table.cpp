#include "ranges/range_table.h"

#include "ranges/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace greengagechute::ranges {

const server_instance* owner_of(const range_table& table, key_position key) {
    const auto found = std::lower_bound(
        table.ranges.begin(), table.ranges.end(), key,
        [](const range_owner& entry, key_position position) { return entry.keys.last < position; });
    return found == table.ranges.end() ? nullptr : &found->owner;
}

std::vector<range_owner> changes_between(const range_table& last, const range_table& next) {
    std::vector<range_owner> changes;
    auto old = last.ranges.begin();
    for (const range_owner& entry : next.ranges) {
        while (old != last.ranges.end() && old->keys.last < entry.keys.first) {
            ++old;
        }
        bool same = old != last.ranges.end();
        for (auto covered = old;
             same && covered != last.ranges.end() && covered->keys.first <= entry.keys.last;
             ++covered) {
            same = covered->owner == entry.owner;
        }
        if (!same) {
            changes.push_back(entry);
        }
    }
    return changes;
}

range_table with_changes(const range_table& table, const std::vector<range_owner>& changes) {
    range_table result;
    const auto append = [&result](const range_owner& entry) {
        if (!result.ranges.empty() && result.ranges.back().owner == entry.owner) {
            result.ranges.back().keys.last = entry.keys.last;
        } else {
            result.ranges.push_back(entry);
        }
    };
    auto change = changes.begin();
    for (const range_owner& entry : table.ranges) {
        key_position first = entry.keys.first;
        while (first <= entry.keys.last) {
            while (change != changes.end() && change->keys.last < first) {
                ++change;
            }
            if (change == changes.end() || change->keys.first > entry.keys.last) {
                append({{first, entry.keys.last}, entry.owner});
                break;
            }
            if (change->keys.first > first) {
                append({{first, change->keys.first - 1}, entry.owner});
                first = change->keys.first;
            }
            const key_position last = std::min(change->keys.last, entry.keys.last);
            append({{first, last}, change->owner});
            first = last + 1;
        }
    }
    return result;
}

std::string encode(const range_table& table) {
    nlohmann::json rows = nlohmann::json::array();
    for (const range_owner& entry : table.ranges) {
        // Only the last key is stored: a range starts after the end of the previous one.
        rows.push_back({entry.keys.last, entry.owner.id.value(), entry.owner.start_time_ms});
    }
    return rows.dump();
}

result<range_table> decode(std::string_view text) {
    const nlohmann::json rows = nlohmann::json::parse(text, nullptr, false);
    if (!rows.is_array()) {
        return make_error_code(ranges_errc::malformed_table);
    }
    range_table table;
    key_position first = 0;
    for (const nlohmann::json& row : rows) {
        if (!row.is_array() || row.size() != 3 || !row[0].is_number_unsigned() ||
            !row[1].is_string() || !row[2].is_number_unsigned()) {
            return make_error_code(ranges_errc::malformed_table);
        }
        const auto last = row[0].get<std::uint64_t>();
        if (last < first || last > last_key) {
            return make_error_code(ranges_errc::malformed_table);
        }
        table.ranges.push_back(
            {{first, static_cast<key_position>(last)},
             {server_id(row[1].get<std::string>()), row[2].get<std::uint64_t>()}});
        first = static_cast<key_position>(last) + 1;
    }
    if (!table.ranges.empty() && first != last_key + 1) {
        return make_error_code(ranges_errc::malformed_table);
    }
    return table;
}

}  // namespace greengagechute::ranges
