#include "gateway/suspect_requests.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace greengagechute::gateway {

namespace {

constexpr std::size_t row_fields = 3;
/// Longer times are not believed: a clock, or the row, is wrong.
constexpr milliseconds max_remaining = std::chrono::hours{1};

}  // namespace

std::string encode_row(const std::vector<suspect_request>& requests, wall_time now) {
    nlohmann::json text;
    text["requests"] = nlohmann::json::array();
    for (const suspect_request& request : requests) {
        const wall_time until = now + request.remaining;
        text["requests"].push_back(
            {request.content.value(), request.losses, until.time_since_epoch().count()});
    }
    return text.dump();
}

std::optional<std::vector<suspect_request>> decode_row(std::string_view text, wall_time now) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("requests") || !parsed["requests"].is_array()) {
        return std::nullopt;
    }
    std::vector<suspect_request> requests;
    for (const nlohmann::json& fields : parsed["requests"]) {
        if (!fields.is_array() || fields.size() != row_fields || !fields[0].is_number_unsigned() ||
            !fields[1].is_number_unsigned() || !fields[2].is_number_unsigned()) {
            return std::nullopt;
        }
        const auto losses = std::min<std::uint64_t>(fields[1].get<std::uint64_t>(),
                                                    std::numeric_limits<std::uint32_t>::max());
        const auto until = std::min<std::uint64_t>(
            fields[2].get<std::uint64_t>(),
            static_cast<std::uint64_t>((now + max_remaining).time_since_epoch().count()));
        const milliseconds remaining =
            milliseconds(static_cast<std::int64_t>(until)) - now.time_since_epoch();
        if (remaining > milliseconds{0}) {
            requests.push_back({request_fingerprint(fields[0].get<std::uint64_t>()),
                                static_cast<std::uint32_t>(losses), remaining});
        }
    }
    return requests;
}

}  // namespace greengagechute::gateway
