#pragma once

#include "base/time.h"
#include "http/types.h"

#include <string>
#include <system_error>
#include <vector>

namespace greengagechute::ctl {

/// How a call to one of several hosts ended.
enum class call_state {
    answered,
    /// No byte was sent to any host.
    unreachable,
    /// A host may have received the request, but its answer did not arrive.
    unknown,
};

struct call_answer {
    call_state state = call_state::unreachable;
    /// The host that answered.
    http::endpoint host;
    int status = 0;
    std::string body;
    /// Why the last host did not answer.
    std::error_code cause;
};

/// Sends a request to the hosts in turn until one answers. The request must be safe to repeat at
/// another host.
/// @param operator_key  signs the request; empty for none
/// @param deadline      each host gets an equal share of the time left
call_answer call_hosts(const std::vector<http::endpoint>& hosts, const http::request& message,
                       const std::string& operator_key, time_point deadline);

}  // namespace greengagechute::ctl
