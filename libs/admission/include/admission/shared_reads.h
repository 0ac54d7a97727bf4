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

/// Limits of the coalescing of equal reads in flight.
struct shared_read_limits {
    /// If false, each read runs on its own; the baseline of benchmarks.
    bool enabled = true;
    /// Maximum number of shared reads at a time.
    std::size_t reads = 4'096;
    std::size_t callers_per_read = 1'024;
    /// Bytes of one response that are buffered for its slowest caller.
    std::size_t bytes_per_read = 1'048'576;
    /// Bytes buffered for all reads together.
    std::size_t total_bytes = 16'777'216;
};

/// A caller that waits for a shared read.
struct shared_caller {
    request_id request;
    /// Bytes of the response that were delivered to this caller.
    std::uint64_t delivered_bytes = 0;
};

/// One read in flight and the callers that wait for it.
struct shared_read {
    /// The request that is sent to the server.
    request_id leader;
    std::vector<shared_caller> callers;
    /// Bytes received from the upstream.
    std::uint64_t received = 0;
    /// Offset of the first buffered byte; all callers have those before it.
    std::uint64_t buffered_from = 0;
    /// Whether the whole response was received.
    bool complete = false;
};

/// Number of write counters; services and keys are hashed to them.
inline constexpr std::size_t write_counters = 1'024;

struct shared_read_table {
    shared_read_limits limits;
    /// By `read_key`.
    std::unordered_map<std::uint64_t, shared_read> reads;
    /// Bytes buffered for all reads together.
    std::size_t buffered_bytes = 0;
    /// Number of acknowledged writes by hash of service and key.
    std::array<std::uint32_t, write_counters> writes{};
};

shared_read_table make_shared_read_table(const shared_read_limits& limits);

/// Records that a write to the key was completed. Must be called before its response is forwarded
/// to the caller: a later read then does not join one that may have run before the write.
void record_write(shared_read_table& table, const service_id& service, std::string_view key);

/// Hash that is equal for equal reads with no write to the key between them.
/// @param variant  the request headers that the response varies with
std::uint64_t read_key(const shared_read_table& table, const service_id& service,
                       std::string_view key, std::string_view method, std::string_view target,
                       std::string_view variant);

enum class read_role {
    /// Send the read to the server, and call the functions below for its response.
    leader,
    /// Wait for the leader's response. Bytes received before are still buffered from offset 0.
    follower,
    /// Send the read on its own: sharing is disabled, a limit is reached, or the start of the
    /// response is no longer buffered.
    unshared,
};

/// Adds a request to the shared read with this key, or starts one.
read_role join_read(shared_read_table& table, std::uint64_t key, request_id request);

/// Records that bytes of the response arrived.
/// @return  the slowest callers, removed from the read because they exceed the buffer limits; their
///          responses are to be aborted with `caller_too_slow`
std::vector<request_id> record_received_bytes(shared_read_table& table, std::uint64_t key,
                                              std::uint64_t bytes);

/// Records that bytes of the response were delivered to one caller.
/// @return  offset before which the bytes of the response are no longer needed
std::uint64_t record_delivered_bytes(shared_read_table& table, std::uint64_t key,
                                     request_id request, std::uint64_t bytes);

/// Removes a caller that disconnected. The read is removed with its last caller.
/// @return  true if that read is still incomplete and has to be cancelled at the server
bool leave_read(shared_read_table& table, std::uint64_t key, request_id request);

/// Records that the response is complete. The read stays until all its bytes are delivered to all
/// callers, but no further request can join it.
void complete_read(shared_read_table& table, std::uint64_t key);

/// Removes a read that failed or was refused.
/// @return  all callers of the read
std::vector<request_id> fail_read(shared_read_table& table, std::uint64_t key);

}  // namespace greengagechute::admission
