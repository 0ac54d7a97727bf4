#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace greengagechute::telemetry {

/// Which lines stay when there is no room for all.
enum class line_class { routine, failure };

struct line_writer_limits {
    /// Bytes that wait for a reader that is behind; routine lines get half of it.
    std::size_t waiting_bytes = 256UL * 1024;
    /// Rate of routine lines, averaged over `burst`.
    std::size_t routine_bytes_per_second = 128UL * 1024;
    milliseconds burst{2'000};
};

/// Lines that were dropped since the last report.
struct dropped_lines {
    std::uint64_t routine = 0;
    std::uint64_t failures = 0;
};

/// Writes lines to a descriptor without waiting for its reader. Not thread-safe.
class line_writer {
public:
    line_writer(int file, const line_writer_limits& bounds) : descriptor(file), limits(bounds) {}

    /// Queues whole lines, or drops them, and writes what the descriptor takes at once.
    /// @param lines  one or more lines, each with its line feed
    /// @return  false if they were dropped
    bool write(std::string lines, line_class importance, time_point now);
    /// Writes what the descriptor takes.
    void flush();
    dropped_lines take_dropped();
    /// Counts drops again whose report was dropped itself.
    void restore_dropped(const dropped_lines& counts);
    bool has_dropped() const { return this->dropped.routine + this->dropped.failures > 0; }
    std::size_t waiting() const { return this->waiting_bytes; }

private:
    bool admit(std::size_t bytes, line_class importance, time_point now);

    int descriptor;
    line_writer_limits limits;
    std::deque<std::string> queue;
    std::size_t waiting_bytes = 0;
    /// Bytes of the first entry that are written.
    std::size_t written = 0;
    dropped_lines dropped;
    /// Routine bytes that may be written now.
    double allowance = 0;
    time_point allowed_at;
    bool started = false;
};

}  // namespace greengagechute::telemetry
