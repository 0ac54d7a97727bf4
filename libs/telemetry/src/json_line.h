#pragma once

#include "telemetry/logger.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace greengagechute::telemetry {

/// The members of a log line, before its time is known.
struct line_content {
    std::string_view level;
    std::string_view host;
    std::string_view event;
    /// Lines of this event that were dropped before this one.
    std::uint64_t dropped = 0;
    std::span<const field> fields;
};

/// The members as JSON without the enclosing braces. Bytes that are not UTF-8 are replaced, long
/// texts and lines are cut at a field, so that the line is always valid JSON.
std::string format_members(const line_content& content);

}  // namespace greengagechute::telemetry
