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

/// Largest tolerated lead of a caller's clock over that of the entry host, which is the host that
/// accepted the request. An id with a later timestamp is refused; one within the limit is delayed
/// at the entry host, see `forwarding_delay`.
inline constexpr milliseconds max_caller_clock_skew{2'000};

/// Largest assumed difference between the wall clocks of two entry hosts. It extends the period
/// after a takeover in which unseen ids are answered with outcome "unknown", so it is well below
/// the 2 s within which a key has to be served again. Clocks of hosts of one data centre that use
/// NTP differ by a few milliseconds.
inline constexpr milliseconds max_host_clock_skew{250};

struct idempotency_limits {
    /// Maximum number of records.
    std::size_t records = 65'536;
    /// Retention time of a finished record.
    milliseconds age{600'000};
    /// Largest response (headers and body) that is stored, in bytes.
    std::size_t response_bytes = 4'096;
    /// Total bytes of the stored responses. Above it, the oldest are evicted first; their records
    /// keep the status code.
    std::size_t total_response_bytes = 16'777'216;
    /// Maximum number of duplicates that wait for one request in flight.
    std::size_t joined = 16;
};

/// A complete HTTP response of an upstream.
struct stored_response {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const stored_response&, const stored_response&) = default;
};

enum class record_phase {
    in_flight,
    /// Finished, and the response is stored.
    answered,
    /// Finished; only the status code of the response is stored.
    response_not_stored,
    /// Ended without a response: the request may have run.
    unknown,
};

/// Hash for lookups by `std::string_view` without a temporary string.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

/// What is stored for one idempotency key (id).
struct idempotency_entry {
    record_phase phase = record_phase::in_flight;
    /// Hash of the request; distinguishes a duplicate from another request with the same id. 0 if
    /// not known.
    std::uint64_t fingerprint = 0;
    /// Timestamp of the id.
    wall_time created;
    time_point finished;
    stored_response answer;
    /// The first request and the duplicates that wait for its outcome.
    std::vector<request_id> waiting;
};

/// The idempotency records of one server. They are held by its dispatcher, which is the host that
/// owns the queue of the server. Changed only by the functions below.
struct idempotency_table {
    idempotency_limits limits;
    std::unordered_map<std::string, idempotency_entry, text_hash, std::equal_to<>> entries;
    /// Ids of finished records with their completion time, oldest first.
    std::deque<std::pair<std::string, time_point>> finished;
    /// Ids with a stored response, oldest first. May hold ids whose record was evicted.
    std::deque<std::string> stored_response_ids;
    /// Total bytes of the stored responses.
    std::size_t response_bytes = 0;
    /// Requests whose id was created up to this time may have been run by an earlier dispatcher.
    wall_time unknown_until{};
    /// Latest creation time of a record that was evicted for its age or for lack of room. Requests
    /// whose id was created up to it may have been run.
    wall_time evicted_until{};
};

/// The table of a dispatcher that takes over at `takeover` without the records of its predecessor.
idempotency_table make_idempotency_table(const idempotency_limits& limits, wall_time takeover);

/// The table of the first dispatcher of a server that has never run a request: every unseen id may
/// run.
idempotency_table make_empty_idempotency_table(const idempotency_limits& limits);

/// Time for which an entry host delays a request with this id before it forwards it: until its own
/// clock reaches the timestamp of the id. A dispatcher that takes over can therefore assume that
/// all ids which its predecessor may have run are older than the takeover, apart from the clock
/// skew between hosts.
/// Errors: `invalid_id`, `id_in_future`.
result<milliseconds> forwarding_delay(std::string_view id, wall_time now);

enum class begin_action {
    /// There was no record; one was created in phase `in_flight`. Queue the request, then call
    /// `complete` or `withdraw`.
    run,
    /// A request with this id is in flight. This one waits for its outcome and is among those that
    /// `complete` or `withdraw` returns.
    joined,
    /// The request ran earlier: send the stored response `answer`.
    replay,
    /// Refuse with `code`. This call runs nothing; whether an earlier one ran is in `state`.
    refuse,
};

struct begin_result {
    begin_action action = begin_action::refuse;
    /// Set for `refuse`. The outcome of `invalid_id`, `id_in_future` and `id_reused` is `not_run`,
    /// that of `id_not_known` and `earlier_outcome_unknown` is `unknown`, and that of
    /// `answer_not_kept` is `answered`. `too_many_ids` has `not_run` if the id is new, and
    /// `unknown` if too many duplicates wait for it.
    std::error_code code;
    /// What is known about the execution of the request.
    outcome state = outcome::not_run;
    /// Set for `replay`; for `answer_not_kept` only the status code is set.
    stored_response answer;
};

/// Looks up the id of a request that arrived and decides whether the request runs.
/// @param fingerprint  hash of the whole request, see `fingerprint_of`
begin_result begin(idempotency_table& table, std::string_view id, request_id request,
                   std::uint64_t fingerprint, wall_time wall_now, time_point now);

/// Records that the request in flight ended. `answer` is stored if `state` is `answered` and the
/// response is within the limit. With `not_run` it does the same as `withdraw`.
/// @return  all requests that wait for the outcome; empty if no request with this id is in flight
std::vector<request_id> complete(idempotency_table& table, std::string_view id, outcome state,
                                 const stored_response& answer, time_point now);

/// Removes the record of a request in flight that certainly did not run, so that a retry may run.
/// @return  all requests that wait for the outcome; empty if no request with this id is in flight
std::vector<request_id> withdraw(idempotency_table& table, std::string_view id);

/// Removes a request whose caller disconnected from those that wait. The record stays.
/// @return  number of requests that still wait for the outcome
std::size_t leave(idempotency_table& table, std::string_view id, request_id request);

/// Evicts finished records whose retention time has passed.
void expire(idempotency_table& table, time_point now);

/// A record as it is transferred to the next dispatcher. One in flight is exported as `unknown`.
struct exported_record {
    std::string id;
    outcome state = outcome::unknown;
    /// The status code is 0 if the request was not answered.
    stored_response answer;
    /// Whether headers and body are stored too, not only the status code.
    bool has_body = false;
    std::uint64_t fingerprint = 0;
};

/// The records of a table as they are transferred to the next dispatcher.
struct exported_table {
    std::vector<exported_record> records;
    /// Requests whose id was created up to this time and is not among the records may have been
    /// run.
    wall_time unknown_until{};
};

/// Exports all records for a planned hand-over to another dispatcher. The caller must run no
/// request of this table afterwards.
exported_table export_records(const idempotency_table& table);

/// Adds the records of the preceding dispatcher. Since they are complete, its `unknown_until`
/// replaces the later one that `make_idempotency_table` assumed. A record that the table already
/// holds takes precedence over an imported one. If more records arrive than `limits` allows, the
/// oldest are evicted and `evicted_until` rises accordingly.
/// Valid only for records of the dispatcher of the preceding epoch that were exported after it had
/// stopped: requests that it ran after the export could run again.
void import_records(idempotency_table& table, const exported_table& exported, time_point now);

}  // namespace greengagechute::admission
