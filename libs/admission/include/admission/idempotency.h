#pragma once

#include "admission/errors.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagechute::admission {

/// An id whose time lies further ahead of an entry host's clock is refused. One that lies ahead by
/// less waits at the entry host, see `forwarding_delay`.
inline constexpr milliseconds max_caller_clock_skew{2'000};

/// Largest assumed difference between the wall clocks of two entry hosts. It lengthens the time
/// after a takeover in which unseen ids are answered "unknown", so it is well below the 2 s in
/// which a key has to be served again. Hosts of one data centre that use NTP differ by a few
/// milliseconds.
inline constexpr milliseconds max_host_clock_skew{250};

struct idempotency_limits {
    std::size_t records = 65'536;
    /// A finished record is kept for this long.
    milliseconds age{600'000};
    /// Answers up to this size are kept.
    std::size_t answer_bytes = 4'096;
    /// Sum of the kept answers; the oldest are dropped first, and their status stays.
    std::size_t total_answer_bytes = 16'777'216;
    /// Resends that wait for one request in flight.
    std::size_t joined = 16;
};

/// A complete answer of an upstream.
struct stored_response {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const stored_response&, const stored_response&) = default;
};

enum class record_phase {
    in_flight,
    /// Finished, and the answer is kept.
    answered,
    /// Finished; only the status of the answer is kept.
    response_not_stored,
    unknown,
};

struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

struct idempotency_entry {
    record_phase phase = record_phase::in_flight;
    /// Distinguishes a resend from another request with the same id; 0 if not known.
    std::uint64_t fingerprint = 0;
    wall_time created;
    time_point finished;
    stored_response answer;
    /// The first request and the resends that wait for its outcome.
    std::vector<request_id> waiting;
};

/// The records of one server, at its dispatcher. Changed only by the functions below.
struct idempotency_table {
    idempotency_limits limits;
    std::unordered_map<std::string, idempotency_entry, text_hash, std::equal_to<>> entries;
    /// Ids of finished records with their time of finishing, oldest first.
    std::deque<std::pair<std::string, time_point>> finished;
    /// Ids with a kept answer, oldest first.
    std::deque<std::string> stored_response_ids;
    std::size_t answer_bytes = 0;
    /// Ids created up to this time may have been run by an earlier dispatcher.
    wall_time unknown_until{};
    /// Latest creation time of a record that was dropped for its age or for lack of room. Ids up to
    /// it may have been run.
    wall_time evicted_until{};
};

/// The table of a dispatcher that takes over at `takeover` without the records of an earlier one.
idempotency_table make_idempotency_table(const idempotency_limits& limits, wall_time takeover);

/// The table of the first dispatcher of a server that has never run work.
idempotency_table make_empty_idempotency_table(const idempotency_limits& limits);

/// How long an entry host keeps a request with this id before it forwards it: until its own clock
/// has reached the time of the id. A dispatcher that takes over therefore knows that all ids which
/// its predecessor may have run are older than the takeover, apart from the clock error of hosts.
/// Errors: `invalid_id`, `id_in_future`.
result<milliseconds> forwarding_delay(std::string_view id, wall_time now);

enum class begin_action {
    /// No record existed; one is in flight now. Queue the request, then call `complete` or
    /// `withdraw`.
    run,
    /// The request is in flight; this one is among those that `complete` or `withdraw` returns.
    joined,
    /// Answer with `answer`.
    repeat,
    /// Refuse with `code`; it did not run because of this resend.
    refuse,
};

struct begin_result {
    begin_action action = begin_action::refuse;
    /// Codes of `refuse`: `invalid_id`, `id_in_future`, `id_reused` are "not run"; `id_not_known`
    /// and `earlier_outcome_unknown` are "unknown"; `answer_not_kept` says that it ran.
    /// `too_many_ids` is "not run" if the id is new, and "unknown" if too many resends wait for it.
    std::error_code code;
    /// What may be said about the execution of the request.
    outcome state = outcome::not_run;
    /// For `repeat`; for `answer_not_kept` with the status only.
    stored_response answer;
};

/// A request with an id arrives.
/// @param fingerprint  of the whole request, see `fingerprint_of`
begin_result begin(idempotency_table& table, std::string_view id, request_id request,
                   std::uint64_t fingerprint, wall_time wall_now, time_point now);

/// The request in flight ended. `state` is `answered` or `unknown`; `answer` is kept if it is small
/// enough.
/// @return  all requests that wait for it
std::vector<request_id> complete(idempotency_table& table, std::string_view id, outcome state,
                                 const stored_response& answer, time_point now);

/// The request in flight certainly did not run: its record is removed, and a resend may run.
/// @return  all requests that wait for it
std::vector<request_id> withdraw(idempotency_table& table, std::string_view id);

/// A caller went away. The record stays.
/// @return  requests that still wait for the outcome
std::size_t leave(idempotency_table& table, std::string_view id, request_id request);

/// Removes records beyond their age.
void expire(idempotency_table& table, time_point now);

/// A record as it is handed over. One in flight is exported as `unknown`.
struct exported_record {
    std::string id;
    outcome state = outcome::unknown;
    /// 0 if no answer is kept; a body that is not kept has `has_body == false`.
    stored_response answer;
    bool has_body = false;
    std::uint64_t fingerprint = 0;
};

struct exported_table {
    std::vector<exported_record> records;
    /// Ids up to this time that are not among the records may have been run.
    wall_time unknown_until{};
};

/// All records, for a planned hand-over. Run no request of the table after this.
exported_table export_records(const idempotency_table& table);

/// Replaces the assumption made by `make_idempotency_table`: the records are complete. Records that
/// the table holds already win over imported ones. If more records arrive than `limits` allows, the
/// oldest are dropped and `evicted_until` rises accordingly.
/// Valid only for records of the dispatcher of the preceding epoch that were exported after it had
/// stopped: what it ran later would run again.
void import_records(idempotency_table& table, const exported_table& exported, time_point now);

}  // namespace greengagechute::admission
