#pragma once

#include "base/result.h"
#include "ownership/grant.h"

#include <string>
#include <string_view>

/// The HTTP interface of a server, shared by the client and the stand-in.
namespace greengagechute::upstream {

inline constexpr std::string_view grant_path = "/_control/grant";
inline constexpr std::string_view status_path = "/_control/status";
inline constexpr std::string_view cancel_path = "/_control/cancel";

/// Value of `X-Not-Run` of a server that refuses work because of its grant: `grant-` and the number
/// of the `ownership_errc`. Other values are the server's own reasons.
std::string not_run_reason(std::error_code ownership_code);

/// Whether `X-Not-Run` names a missing or different grant: the work belongs to another server or
/// dispatcher.
bool is_grant_refusal(std::string_view reason);

inline constexpr std::string_view reason_shed = "shed";
inline constexpr std::string_view reason_draining = "draining";
inline constexpr std::string_view reason_deadline = "deadline";

/// JSON forms; ids are plain values, a partition is `[partition, epoch]`.
std::string encode(const ownership::grant& order);
std::string encode(const ownership::server_report& report);

/// Error: `upstream_errc::malformed_message`.
result<ownership::grant> decode_grant(std::string_view text);
result<ownership::server_report> decode_report(std::string_view text);

}  // namespace greengagechute::upstream
