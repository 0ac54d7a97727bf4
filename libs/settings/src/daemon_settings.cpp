#include "settings/daemon_settings.h"

namespace greengagechute::settings {

std::string socket_address::text() const {
    const bool is_ipv6 = this->ip.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + this->ip + "]" : this->ip;
    return host + ":" + std::to_string(this->port);
}

bool socket_address::is_loopback() const {
    return this->ip.starts_with("127.") || this->ip == "::1";
}

}  // namespace greengagechute::settings
