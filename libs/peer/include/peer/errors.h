#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::peer {

enum class peer_errc {
    listen_failed = 900,
    key_required = 901,
    not_connected = 902,
    queue_full = 903,
    malformed_address = 904,
    malformed_message = 905,
    unauthenticated = 906,
    message_too_large = 907,
    unsupported_version = 908,
    limit_exceeded = 909,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(peer_errc code);

}  // namespace greengagechute::peer

template <>
struct std::is_error_code_enum<greengagechute::peer::peer_errc> : std::true_type {};
