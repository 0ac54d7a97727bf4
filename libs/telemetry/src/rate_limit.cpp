#include "rate_limit.h"

#include <chrono>
#include <utility>

namespace greengagechute::telemetry {

namespace {

constexpr std::chrono::seconds window_length{1};
/// Event names are constants of the program; the bound covers a name that is built from input.
constexpr std::size_t most_events = 1'024;
constexpr std::string_view further_events = "further_events";

}  // namespace

rate_limit::rate_limit(std::uint32_t lines_per_second) : limit(lines_per_second) {}

std::optional<std::uint64_t> rate_limit::admit(std::string_view event, time_point now) {
    if (this->limit == 0) {
        return 0;
    }
    const std::lock_guard lock(this->mutex);
    auto found = this->windows.find(event);
    if (found == this->windows.end()) {
        const bool has_room = this->windows.size() < most_events;
        found = this->windows.try_emplace(std::string(has_room ? event : further_events)).first;
    }
    window& current = found->second;
    if (current.lines == 0 || now - current.start >= window_length) {
        current.start = now;
        current.lines = 0;
    }
    if (current.lines >= this->limit) {
        ++current.dropped;
        return std::nullopt;
    }
    ++current.lines;
    return std::exchange(current.dropped, 0);
}

}  // namespace greengagechute::telemetry
