#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace greengagechute::peer {

/// A numeric IP address and a port.
struct peer_address {
    std::string host;
    std::uint16_t port = 0;
    bool loopback = false;
    bool version_6 = false;

    /// `127.0.0.1:7400` or `[::1]:7400`.
    std::string text() const;
};

/// Errors: `peer_errc::malformed_address`.
result<peer_address> parse_address(const std::string& text);

}  // namespace greengagechute::peer
