#include "http/types.h"

#include "lws_headers.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace greengagechute::http {

namespace {

bool same_name(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

}  // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint parsed;
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (code != std::errc{} || rest != end) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    parsed.address = address;
    return parsed;
}

std::string_view find_header(const header_list& headers, std::string_view name) {
    for (const header& field : headers) {
        if (same_name(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

const std::vector<std::string>& default_custom_headers() {
    static const std::vector<std::string> names{"x-key",
                                                "x-caller",
                                                "x-deadline-ms",
                                                "x-work-kind",
                                                "idempotency-key",
                                                "x-outcome",
                                                "x-error-code",
                                                "x-revision",
                                                "x-signature",
                                                "x-time",
                                                "x-partition",
                                                "x-epoch",
                                                "x-dispatcher-epoch",
                                                "x-request-id",
                                                "x-not-run",
                                                "x-write-id",
                                                "x-server",
                                                "x-boot",
                                                "x-run",
                                                "x-crash",
                                                "x-trace-id",
                                                "x-server-time",
                                                "x-service",
                                                "x-version",
                                                "x-host",
                                                "x-submission-id"};
    return names;
}

}  // namespace greengagechute::http
