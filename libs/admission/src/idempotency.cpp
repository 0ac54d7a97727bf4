#include "admission/idempotency.h"

#include "base/uuid.h"

#include <algorithm>

namespace greengagechute::admission {

namespace {

begin_result refuse(admission_errc code, outcome state) {
    begin_result refusal;
    refusal.code = make_error_code(code);
    refusal.state = state;
    return refusal;
}

/// Creation time in an id. Errors: `invalid_id`.
result<wall_time> id_timestamp(std::string_view id) {
    const auto created = uuid7_time(id);
    if (!created) {
        return make_error_code(admission_errc::invalid_id);
    }
    return *created;
}

std::size_t response_size(const stored_response& answer) {
    std::size_t size = answer.body.size();
    for (const auto& [name, value] : answer.headers) {
        size += name.size() + value.size();
    }
    return size;
}

void evict_response(idempotency_table& table, idempotency_entry& entry) {
    if (entry.phase != record_phase::answered) {
        return;
    }
    table.response_bytes -= response_size(entry.answer);
    entry.answer.body.clear();
    entry.answer.headers.clear();
    entry.phase = record_phase::response_not_stored;
}

/// Evicts the record that finished first. If its id arrives again, the outcome is unknown.
void evict_oldest(idempotency_table& table) {
    const auto found = table.entries.find(table.finished.front().first);
    table.finished.pop_front();
    evict_response(table, found->second);
    table.evicted_until = std::max(table.evicted_until, found->second.created);
    table.entries.erase(found);
}

/// Evicts a finished record if the table is full.
/// @return  false if it is full of requests in flight
bool make_room(idempotency_table& table) {
    if (table.entries.size() < table.limits.records) {
        return true;
    }
    if (table.finished.empty()) {
        return false;
    }
    evict_oldest(table);
    return true;
}

void evict_responses_over_limit(idempotency_table& table) {
    while (table.response_bytes > table.limits.total_response_bytes &&
           !table.stored_response_ids.empty()) {
        const auto found = table.entries.find(table.stored_response_ids.front());
        table.stored_response_ids.pop_front();
        if (found != table.entries.end()) {
            evict_response(table, found->second);
        }
    }
    // Ids whose record was evicted for its age stay in the list until they reach its front.
    while (table.stored_response_ids.size() > table.limits.records) {
        table.stored_response_ids.pop_front();
    }
}

void store_response(idempotency_table& table, std::string_view id, idempotency_entry& entry,
                    const stored_response& answer) {
    const std::size_t size = response_size(answer);
    entry.answer.status = answer.status;
    if (size > table.limits.response_bytes) {
        entry.phase = record_phase::response_not_stored;
        return;
    }
    entry.phase = record_phase::answered;
    entry.answer = answer;
    table.response_bytes += size;
    table.stored_response_ids.emplace_back(id);
    evict_responses_over_limit(table);
}

void mark_finished(idempotency_table& table, std::string_view id, idempotency_entry& entry,
                   time_point now) {
    entry.finished = now;
    table.finished.emplace_back(id, now);
}

begin_result join(const idempotency_table& table, idempotency_entry& entry, request_id request) {
    if (entry.waiting.size() > table.limits.joined) {
        return refuse(admission_errc::too_many_ids, outcome::unknown);
    }
    entry.waiting.push_back(request);
    begin_result joined;
    joined.action = begin_action::joined;
    return joined;
}

begin_result replay(const idempotency_table& table, idempotency_entry& entry, request_id request) {
    begin_result replayed;
    switch (entry.phase) {
        case record_phase::in_flight:
            return join(table, entry, request);
        case record_phase::answered:
            replayed.action = begin_action::replay;
            replayed.state = outcome::answered;
            replayed.answer = entry.answer;
            return replayed;
        case record_phase::response_not_stored:
            replayed = refuse(admission_errc::answer_not_kept, outcome::answered);
            replayed.answer.status = entry.answer.status;
            return replayed;
        case record_phase::unknown:
            break;
    }
    return refuse(admission_errc::earlier_outcome_unknown, outcome::unknown);
}

/// Whether a request with an id of this creation time may have run without a record in the table.
bool may_have_run(const idempotency_table& table, wall_time created) {
    return created <= std::max(table.unknown_until, table.evicted_until);
}

begin_result start(idempotency_table& table, std::string_view id, request_id request,
                   std::uint64_t fingerprint, wall_time created) {
    if (!make_room(table)) {
        return refuse(admission_errc::too_many_ids, outcome::not_run);
    }
    // `make_room` may have evicted a record whose id is newer than this one.
    if (may_have_run(table, created)) {
        return refuse(admission_errc::id_not_known, outcome::unknown);
    }
    idempotency_entry& entry = table.entries[std::string(id)];
    entry.fingerprint = fingerprint;
    entry.created = created;
    entry.waiting.push_back(request);
    begin_result started;
    started.action = begin_action::run;
    return started;
}

exported_record export_record(const std::string& id, const idempotency_entry& entry) {
    exported_record record;
    record.id = id;
    record.fingerprint = entry.fingerprint;
    const bool ran =
        entry.phase == record_phase::answered || entry.phase == record_phase::response_not_stored;
    if (ran) {
        record.state = outcome::answered;
        record.answer = entry.answer;
        record.has_body = entry.phase == record_phase::answered;
    }
    return record;
}

void import_record(idempotency_table& table, const exported_record& record, time_point now) {
    const auto created = id_timestamp(record.id);
    if (!created || record.state == outcome::not_run || table.entries.contains(record.id)) {
        return;
    }
    if (!make_room(table)) {
        table.evicted_until = std::max(table.evicted_until, *created);
        return;
    }
    idempotency_entry& entry = table.entries[record.id];
    entry.fingerprint = record.fingerprint;
    entry.created = *created;
    entry.phase = record_phase::unknown;
    if (record.state == outcome::answered) {
        entry.phase = record_phase::response_not_stored;
        entry.answer.status = record.answer.status;
    }
    if (record.state == outcome::answered && record.has_body) {
        store_response(table, record.id, entry, record.answer);
    }
    mark_finished(table, record.id, entry, now);
}

}  // namespace

idempotency_table make_idempotency_table(const idempotency_limits& limits, wall_time takeover) {
    idempotency_table table;
    table.limits = limits;
    table.unknown_until = takeover + max_host_clock_skew;
    return table;
}

idempotency_table make_empty_idempotency_table(const idempotency_limits& limits) {
    idempotency_table table;
    table.limits = limits;
    return table;
}

result<milliseconds> forwarding_delay(std::string_view id, wall_time now) {
    const auto created = id_timestamp(id);
    if (!created) {
        return created.error();
    }
    if (*created > now + max_caller_clock_skew) {
        return make_error_code(admission_errc::id_in_future);
    }
    return std::max(*created - now, milliseconds(0));
}

begin_result begin(idempotency_table& table, std::string_view id, request_id request,
                   std::uint64_t fingerprint, wall_time wall_now, time_point now) {
    const auto created = id_timestamp(id);
    if (!created) {
        return refuse(admission_errc::invalid_id, outcome::not_run);
    }
    expire(table, now);
    const auto found = table.entries.find(id);
    if (found != table.entries.end()) {
        const std::uint64_t known = found->second.fingerprint;
        if (known != 0 && fingerprint != 0 && known != fingerprint) {
            return refuse(admission_errc::id_reused, outcome::not_run);
        }
        return replay(table, found->second, request);
    }
    if (may_have_run(table, *created)) {
        return refuse(admission_errc::id_not_known, outcome::unknown);
    }
    if (*created > wall_now + max_host_clock_skew) {
        return refuse(admission_errc::id_in_future, outcome::not_run);
    }
    return start(table, id, request, fingerprint, *created);
}

std::vector<request_id> complete(idempotency_table& table, std::string_view id, outcome state,
                                 const stored_response& answer, time_point now) {
    if (state == outcome::not_run) {
        return withdraw(table, id);
    }
    const auto found = table.entries.find(id);
    if (found == table.entries.end() || found->second.phase != record_phase::in_flight) {
        return {};
    }
    idempotency_entry& entry = found->second;
    std::vector<request_id> waiting = std::move(entry.waiting);
    entry.waiting.clear();
    mark_finished(table, id, entry, now);
    if (state == outcome::answered) {
        store_response(table, id, entry, answer);
    } else {
        entry.phase = record_phase::unknown;
    }
    return waiting;
}

std::vector<request_id> withdraw(idempotency_table& table, std::string_view id) {
    const auto found = table.entries.find(id);
    if (found == table.entries.end() || found->second.phase != record_phase::in_flight) {
        return {};
    }
    std::vector<request_id> waiting = std::move(found->second.waiting);
    table.entries.erase(found);
    return waiting;
}

std::size_t leave(idempotency_table& table, std::string_view id, request_id request) {
    const auto found = table.entries.find(id);
    if (found == table.entries.end()) {
        return 0;
    }
    std::erase(found->second.waiting, request);
    return found->second.waiting.size();
}

void expire(idempotency_table& table, time_point now) {
    while (!table.finished.empty() && now - table.finished.front().second >= table.limits.age) {
        evict_oldest(table);
    }
}

exported_table export_records(const idempotency_table& table) {
    exported_table exported;
    exported.unknown_until = std::max(table.unknown_until, table.evicted_until);
    exported.records.reserve(table.entries.size());
    // Oldest first, so that an importer with a smaller limit evicts the oldest.
    for (const auto& [id, finished] : table.finished) {
        exported.records.push_back(export_record(id, table.entries.find(id)->second));
    }
    for (const auto& [id, entry] : table.entries) {
        if (entry.phase == record_phase::in_flight) {
            exported.records.push_back(export_record(id, entry));
        }
    }
    return exported;
}

void import_records(idempotency_table& table, const exported_table& exported, time_point now) {
    table.unknown_until = exported.unknown_until;
    for (const exported_record& record : exported.records) {
        import_record(table, record, now);
    }
}

}  // namespace greengagechute::admission
