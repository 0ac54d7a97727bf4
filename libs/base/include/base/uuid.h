#pragma once

#include "base/result.h"
#include "base/time.h"

#include <random>
#include <string>
#include <string_view>

namespace greengagechute {

/// Creation time of a UUID of version 7 (RFC 9562) in its text form.
/// Errors: `base_errc::invalid_uuid`, `base_errc::not_a_version_7_uuid`.
result<wall_time> uuid7_time(std::string_view text);

/// A UUID of version 7 in text form, created at `now`.
std::string make_uuid7(wall_time now, std::mt19937_64& generator);

}  // namespace greengagechute
