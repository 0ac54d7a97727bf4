#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace greengagechute::gateway {

/// Longest pause that a server is granted. A longer one, which may be an error of the server, would
/// keep it without work after its cause has gone.
inline constexpr milliseconds max_granted_pause{60'000};

/// What a server instance has stated about itself in its answers to this host. It holds for that
/// instance only and for as long as it runs, whatever other sources say.
struct server_notices {
    /// First answer that stated that the server is leaving.
    std::optional<time_point> leaving_since;
    /// End of the pause that the server asked for; in the past if it is over.
    std::optional<time_point> paused_until;
};

/// The parts of one answer that are about the server itself.
struct server_statement {
    bool leaving = false;
    /// Time for which the server wants no requests from this host; 0 if it asks for no pause.
    milliseconds pause{0};
    /// A stated pause was malformed, out of range or given more than once.
    bool odd_pause = false;
};

/// Interprets the headers of an answer.
/// @param leaving      values of the header by which a server states that it is leaving
/// @param retry_after  values of the header that states a pause, in seconds; empty unless the
///                     answer is a refusal by which a server may ask for a pause
server_statement interpret(const std::vector<std::string>& leaving,
                           const std::vector<std::string>& retry_after);

/// Records a statement. A pause never ends earlier than one that was stated before.
void record(server_notices& known, const server_statement& stated, time_point now);

/// Whether the server has asked for a pause that is not over.
bool is_pause_asked(const server_notices& known, time_point now);

/// Whether a server may get a request that any server of its service can run.
bool accepts_work(const server_notices& known, time_point now);

/// Whether an owner may get a request that only it can run. A leaving owner still serves for some
/// time, in which its keys move.
/// @param max_use  longest time for which a leaving owner is used after it has said so
bool accepts_owned_work(const server_notices& known, milliseconds max_use, time_point now);

}  // namespace greengagechute::gateway
