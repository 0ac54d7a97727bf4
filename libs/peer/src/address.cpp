#include "address.h"

#include "peer/errors.h"

#include <arpa/inet.h>

#include <charconv>

namespace greengagechute::peer {

namespace {

constexpr unsigned char loopback_network = 127;

bool parse_port(std::string_view text, std::uint16_t& port) {
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), port);
    return code == std::errc{} && end == text.data() + text.size();
}

bool parse_version_4(peer_address& address) {
    in_addr binary{};
    if (inet_pton(AF_INET, address.host.c_str(), &binary) != 1) {
        return false;
    }
    address.loopback = (ntohl(binary.s_addr) >> 24) == loopback_network;
    return true;
}

bool parse_version_6(peer_address& address) {
    in6_addr binary{};
    if (inet_pton(AF_INET6, address.host.c_str(), &binary) != 1) {
        return false;
    }
    address.version_6 = true;
    address.loopback = IN6_IS_ADDR_LOOPBACK(&binary);
    return true;
}

}  // namespace

std::string peer_address::text() const {
    const std::string suffix = ":" + std::to_string(this->port);
    return this->version_6 ? "[" + this->host + "]" + suffix : this->host + suffix;
}

result<peer_address> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    peer_address address;
    if (colon == std::string::npos ||
        !parse_port(std::string_view(text).substr(colon + 1), address.port)) {
        return make_error_code(peer_errc::malformed_address);
    }
    const bool bracketed = colon >= 2 && text.front() == '[' && text[colon - 1] == ']';
    address.host = bracketed ? text.substr(1, colon - 2) : text.substr(0, colon);
    const bool valid = bracketed ? parse_version_6(address) : parse_version_4(address);
    if (!valid) {
        return make_error_code(peer_errc::malformed_address);
    }
    return address;
}

}  // namespace greengagechute::peer
