#pragma once

namespace greengagechute::ctl {

/// Exit codes of greengagechutectl.
inline constexpr int exit_done = 0;
/// The note or order was refused, or a note is not valid.
inline constexpr int exit_refused = 1;
inline constexpr int exit_usage = 2;
/// No host could be reached; nothing was sent.
inline constexpr int exit_unreachable = 3;
/// The order may have been received, but its outcome is not known or still open.
inline constexpr int exit_pending = 4;

}  // namespace greengagechute::ctl
