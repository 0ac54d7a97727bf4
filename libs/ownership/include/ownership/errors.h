#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::ownership {

/// Reasons for which a server or a dispatcher refuses work. With each of them the work has
/// certainly not run.
enum class ownership_errc {
    no_grant = 400,
    grant_ended = 401,
    wrong_dispatcher_epoch = 402,
    partition_not_held = 403,
    wrong_partition_epoch = 404,
    not_dispatcher = 405,
    partition_moving = 406,
    server_suspected = 407,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(ownership_errc code);

}  // namespace greengagechute::ownership

template <>
struct std::is_error_code_enum<greengagechute::ownership::ownership_errc> : std::true_type {};
