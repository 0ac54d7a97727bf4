#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace greengagechute::telemetry {

/// Limits the lines of each event name in each second. Thread-safe.
class rate_limit {
public:
    explicit rate_limit(std::uint32_t lines_per_second);

    /// @return  empty if the line is to be dropped; otherwise the number of lines of this event
    /// that
    ///          were dropped before it
    std::optional<std::uint64_t> admit(std::string_view event, time_point now);

private:
    struct window {
        time_point start;
        std::uint32_t lines = 0;
        std::uint64_t dropped = 0;
    };

    std::uint32_t limit;
    std::mutex mutex;
    std::map<std::string, window, std::less<>> windows;
};

}  // namespace greengagechute::telemetry
