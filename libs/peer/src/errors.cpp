#include "peer/errors.h"

#include <array>

namespace greengagechute::peer {

namespace {

constexpr std::array entries{
    error_entry{900, "listen_failed", "the peer listener could not be opened"},
    error_entry{901, "key_required", "messages without a key are allowed on loopback only"},
    error_entry{902, "not_connected", "there is no connection to the peer; nothing was sent"},
    error_entry{903, "queue_full", "the queue to the peer is full; nothing was sent"},
    error_entry{904, "malformed_address", "the address is not a numeric IP address and port"},
    error_entry{905, "malformed_message", "the message is malformed"},
    error_entry{906, "unauthenticated", "the authentication code of the message is wrong"},
    error_entry{907, "message_too_large", "the message exceeds the size bound"},
    error_entry{908, "unsupported_version", "the message has an unsupported format version"},
    error_entry{909, "limit_exceeded", "the message exceeds a bound on counts or depth"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(peer_errc code) {
    static const table_category category("peer", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::peer
