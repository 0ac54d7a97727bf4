#include "gateway/crash_guard.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace greengagechute::gateway {

namespace {

/// Losses and cleared requests that wait for a report; the oldest are dropped first.
constexpr std::size_t max_unreported = 256;
/// Suspect requests in an answer; those with the most losses go first.
constexpr std::size_t max_suspects = 256;
/// Time for which hosts are told that a request was cleared; several reports fall into it.
constexpr milliseconds cleared_retention{10'000};
constexpr std::size_t max_cleared = 256;

std::uint64_t identity_of(const ranges::server_instance& server) {
    return hash64(server.id.value(), server.start_time_ms);
}

template <typename item>
void add_bounded(std::vector<item>& list, const item& added) {
    if (list.size() == max_unreported) {
        list.erase(list.begin());
    }
    list.push_back(added);
}

/// Whether one more loss, or none, lets the request be refused.
bool is_suspect(const suspect_ledger& ledger, const admission::quarantine_entry& entry) {
    return entry.losses + 1 >= ledger.requests.limits.losses;
}

void import(admission::quarantine_table& table, const suspects_update& update, time_point now) {
    for (const request_fingerprint& content : update.cleared) {
        admission::forgive(table, content.value());
    }
    for (const suspect_request& request : update.requests) {
        admission::import_notice(table,
                                 {request.content.value(), request.losses, request.remaining}, now);
    }
}

}  // namespace

crash_guard make_crash_guard(const admission::quarantine_limits& limits) {
    return {admission::make_quarantine_table(limits), {}, {}, {}};
}

std::vector<counted_loss> note_ended(crash_guard& guard, const ranges::server_instance& server,
                                     end_evidence evidence, time_point now) {
    std::vector<counted_loss> counted;
    for (const request_fingerprint& content :
         attribute_end(guard.attribution, server, evidence, now)) {
        const auto notice =
            admission::record_loss(guard.requests, content.value(), identity_of(server), now);
        if (notice) {
            add_bounded(guard.unreported, {content, server});
            counted.push_back({content, notice->losses, time_until_allowed(guard, content, now)});
        }
    }
    return counted;
}

bool note_survived(crash_guard& guard, request_fingerprint content, time_point now) {
    if (admission::losses_of(guard.requests, content.value(), now) == 0) {
        return false;
    }
    admission::forgive(guard.requests, content.value());
    std::erase_if(guard.unreported,
                  [content](const request_loss& loss) { return loss.content == content; });
    add_bounded(guard.cleared, content);
    return true;
}

milliseconds time_until_allowed(const crash_guard& guard, request_fingerprint content,
                                time_point now) {
    return admission::time_left(guard.requests, content.value(), now);
}

bool may_repeat(const crash_guard& guard, request_fingerprint content, time_point now) {
    return admission::losses_of(guard.requests, content.value(), now) +
               unexplained_interruptions(guard.attribution, content, now) <
           2;
}

void apply(crash_guard& guard, const suspects_update& update, time_point now) {
    import(guard.requests, update, now);
}

suspect_ledger make_suspect_ledger(const admission::quarantine_limits& limits) {
    return {admission::make_quarantine_table(limits), 0, {}};
}

bool record_report(suspect_ledger& ledger, const std::vector<request_loss>& losses,
                   const std::vector<request_fingerprint>& cleared, time_point now) {
    bool changed = false;
    for (const request_fingerprint& content : cleared) {
        if (admission::forgive(ledger.requests, content.value())) {
            ledger.cleared.emplace_back(content, now);
            changed = true;
        }
    }
    for (const request_loss& loss : losses) {
        const auto notice = admission::record_loss(ledger.requests, loss.content.value(),
                                                   identity_of(loss.server), now);
        changed = changed || (notice && notice->losses + 1 >= ledger.requests.limits.losses);
    }
    while (ledger.cleared.size() > max_cleared) {
        ledger.cleared.pop_front();
    }
    if (changed) {
        ++ledger.version;
    }
    return changed;
}

void merge(suspect_ledger& ledger, const suspects_update& update, time_point now) {
    import(ledger.requests, update, now);
}

bool has_news(const suspect_ledger& ledger, std::uint64_t known_version) {
    if (known_version == ledger.version) {
        return false;
    }
    return known_version != 0 || !ledger.cleared.empty() ||
           std::any_of(ledger.requests.entries.begin(), ledger.requests.entries.end(),
                       [&ledger](const auto& entry) { return is_suspect(ledger, entry.second); });
}

suspects_update current_suspects(const suspect_ledger& ledger, time_point now) {
    suspects_update update;
    update.version = ledger.version;
    for (const auto& [content, entry] : ledger.requests.entries) {
        if (is_suspect(ledger, entry) && now < entry.until) {
            update.requests.push_back({request_fingerprint(content), entry.losses,
                                       std::chrono::ceil<milliseconds>(entry.until - now)});
        }
    }
    std::sort(update.requests.begin(), update.requests.end(),
              [](const suspect_request& first, const suspect_request& second) {
                  return first.losses > second.losses;
              });
    update.requests.resize(std::min(update.requests.size(), max_suspects));
    for (const auto& [content, when] : ledger.cleared) {
        if (now - when < cleared_retention) {
            update.cleared.push_back(content);
        }
    }
    return update;
}

void expire(suspect_ledger& ledger, time_point now) {
    admission::expire(ledger.requests, now);
    while (!ledger.cleared.empty() && now - ledger.cleared.front().second >= cleared_retention) {
        ledger.cleared.pop_front();
    }
}

}  // namespace greengagechute::gateway
