#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::http {

/// A numeric IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Reads `1.2.3.4:80` or `[::1]:80`; the address itself is not checked. Empty if there is no port.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// One header field. Names compare without regard to case.
struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// The value of the first header with that name, or an empty view if there is none.
std::string_view find_header(const header_list& headers, std::string_view name);

/// Names of the headers beyond the common HTTP ones that a server or client reads by default, in
/// lower case. libwebsockets gives access to a header it does not know only by its name.
const std::vector<std::string>& default_custom_headers();

/// A request received by a server or sent by a client.
struct request {
    std::string method;
    /// Path without the query, percent-encoded. A server receives an equivalent encoding of the
    /// path that was sent, with `.` and `..` segments resolved; `%2F` arrives as `/`.
    std::string path;
    /// Text after `?`, without it.
    std::string query;
    header_list headers;
    std::string body;
};

}  // namespace greengagechute::http
