#include "gateway/server_notices.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace greengagechute::gateway {

namespace {

constexpr double ms_per_second = 1'000.0;

/// Seconds with an optional fraction; empty if the text is anything else.
std::optional<double> parse_seconds(std::string_view text) {
    double seconds = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (error != std::errc{} || rest != end || !std::isfinite(seconds) || seconds < 0) {
        return std::nullopt;
    }
    return seconds;
}

}  // namespace

server_statement interpret(const std::vector<std::string>& leaving,
                           const std::vector<std::string>& retry_after) {
    server_statement stated;
    stated.leaving = std::any_of(leaving.begin(), leaving.end(),
                                 [](const std::string& value) { return value != "0"; });
    stated.odd_pause = retry_after.size() > 1;
    for (const std::string& value : retry_after) {
        const auto seconds = parse_seconds(value);
        if (!seconds) {
            stated.odd_pause = true;
            continue;
        }
        const double limit_ms = static_cast<double>(max_granted_pause.count());
        const double ms = *seconds * ms_per_second;
        stated.odd_pause = stated.odd_pause || ms > limit_ms;
        stated.pause =
            std::max(stated.pause, milliseconds(std::llround(std::ceil(std::min(ms, limit_ms)))));
    }
    return stated;
}

void record(server_notices& known, const server_statement& stated, time_point now) {
    if (stated.leaving && !known.leaving_since) {
        known.leaving_since = now;
    }
    if (stated.pause > milliseconds{0}) {
        known.paused_until = std::max(known.paused_until.value_or(now), now + stated.pause);
    }
}

bool is_pause_asked(const server_notices& known, time_point now) {
    return known.paused_until && now < *known.paused_until;
}

bool accepts_work(const server_notices& known, time_point now) {
    return !known.leaving_since && !is_pause_asked(known, now);
}

bool accepts_owned_work(const server_notices& known, milliseconds max_use, time_point now) {
    return !is_pause_asked(known, now) &&
           (!known.leaving_since || now <= *known.leaving_since + max_use);
}

}  // namespace greengagechute::gateway
