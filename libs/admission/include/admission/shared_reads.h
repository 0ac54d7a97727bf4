#pragma once

#include "admission/errors.h"
#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagechute::admission {

struct shared_read_limits {
    /// Off is the baseline: each read runs alone.
    bool enabled = true;
    std::size_t reads = 4'096;
    std::size_t callers_per_read = 1'024;
    /// Bytes of one answer that are held for its slowest caller.
    std::size_t bytes_per_read = 1'048'576;
    /// Bytes held for all reads together.
    std::size_t total_bytes = 16'777'216;
};

struct shared_caller {
    request_id request;
    /// Bytes of the answer that were passed on to this caller.
    std::uint64_t delivered_bytes = 0;
};

/// One read in flight and the callers that wait for it.
struct shared_read {
    request_id leader;
    std::vector<shared_caller> callers;
    /// Bytes received from the upstream.
    std::uint64_t received = 0;
    /// Bytes before this offset are no longer held.
    std::uint64_t buffered_from = 0;
    bool complete = false;
};

inline constexpr std::size_t write_counters = 1'024;

struct shared_read_table {
    shared_read_limits limits;
    std::unordered_map<std::uint64_t, shared_read> reads;
    std::size_t buffered_bytes = 0;
    /// Acknowledged writes by hash of service and key.
    std::array<std::uint32_t, write_counters> writes{};
};

shared_read_table make_shared_read_table(const shared_read_limits& limits);

/// Work on the key that changes state was done. Call this before its answer is passed on: a later
/// read then does not join a read that may have run before the change.
void record_write(shared_read_table& table, const service_id& service, std::string_view key);

/// Identifies equal reads since the last write to the key.
/// @param variant  the headers that change the answer
std::uint64_t read_key(const shared_read_table& table, const service_id& service,
                       std::string_view key, std::string_view method, std::string_view target,
                       std::string_view variant);

enum class read_role {
    /// Run the read; call the functions below for its answer.
    leader,
    /// Wait for the leader's answer. Bytes that were received before are held from offset 0.
    follower,
    /// Run the read on its own: sharing is off, or a bound is reached.
    unshared,
};

read_role join_read(shared_read_table& table, std::uint64_t key, request_id request);

/// Bytes of the answer arrived.
/// @return  callers that are too slow for the bounds; they are no longer part of the read, and
///          their answers break off with `caller_too_slow`
std::vector<request_id> record_received_bytes(shared_read_table& table, std::uint64_t key,
                                              std::uint64_t bytes);

/// Bytes of the answer were passed on to one caller.
/// @return  offset before which the bytes of the answer are no longer needed
std::uint64_t record_delivered_bytes(shared_read_table& table, std::uint64_t key,
                                     request_id request, std::uint64_t bytes);

/// A caller went away.
/// @return  true if no caller is left: cancel the read at the server; the entry is removed
bool leave_read(shared_read_table& table, std::uint64_t key, request_id request);

/// The answer is complete. The read is kept until its bytes are passed on to all callers, but no
/// further request joins it.
void complete_read(shared_read_table& table, std::uint64_t key);

/// The read failed or was refused: removes it.
/// @return  all callers of the read
std::vector<request_id> fail_read(shared_read_table& table, std::uint64_t key);

}  // namespace greengagechute::admission
