#include "line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <utility>

namespace greengagechute::telemetry {

namespace {

/// A pipe that is ready takes at least this much without blocking (POSIX PIPE_BUF).
constexpr std::size_t largest_write = PIPE_BUF;

std::uint64_t lines_in(const std::string& text) {
    return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
}

bool is_ready(int descriptor) {
    pollfd asked{descriptor, POLLOUT, 0};
    return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

}  // namespace

bool line_writer::admit(std::size_t bytes, line_class importance, time_point now) {
    if (importance == line_class::failure) {
        return this->waiting_bytes + bytes <= this->limits.waiting_bytes;
    }
    const auto rate = static_cast<double>(this->limits.routine_bytes_per_second);
    const double most = rate * std::chrono::duration<double>(this->limits.burst).count();
    if (!this->started) {
        this->started = true;
        this->allowance = most;
    } else {
        const double seconds = std::chrono::duration<double>(now - this->allowed_at).count();
        this->allowance = std::min(most, this->allowance + seconds * rate);
    }
    this->allowed_at = now;
    if (this->waiting_bytes + bytes > this->limits.waiting_bytes / 2 ||
        this->allowance < static_cast<double>(bytes)) {
        return false;
    }
    this->allowance -= static_cast<double>(bytes);
    return true;
}

bool line_writer::write(std::string lines, line_class importance, time_point now) {
    this->flush();
    if (!this->admit(lines.size(), importance, now)) {
        (importance == line_class::routine ? this->dropped.routine : this->dropped.failures) +=
            lines_in(lines);
        return false;
    }
    this->waiting_bytes += lines.size();
    this->queue.push_back(std::move(lines));
    this->flush();
    return true;
}

void line_writer::flush() {
    while (!this->queue.empty() && is_ready(this->descriptor)) {
        const std::string& first = this->queue.front();
        const std::size_t part = std::min(first.size() - this->written, largest_write);
        const ssize_t count = ::write(this->descriptor, first.data() + this->written, part);
        if (count <= 0) {
            // Without a reader, or with a full disk, the lines wait until others take their room.
            return;
        }
        this->written += static_cast<std::size_t>(count);
        this->waiting_bytes -= static_cast<std::size_t>(count);
        if (this->written == first.size()) {
            this->queue.pop_front();
            this->written = 0;
        }
    }
}

dropped_lines line_writer::take_dropped() {
    return std::exchange(this->dropped, {});
}

void line_writer::restore_dropped(const dropped_lines& counts) {
    this->dropped.routine += counts.routine;
    this->dropped.failures += counts.failures;
}

}  // namespace greengagechute::telemetry
