#include "router/stages.h"

#include "admission/errors.h"
#include "router/errors.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace greengagechute::router {

namespace {

constexpr std::string_view path_prefix = "/v1/";

constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "connection", "keep-alive", "transfer-encoding", "content-length", "host",
    "upgrade",    "te",         "trailer",           "expect"};

// Set by the system itself; a caller must not be able to forge them at the server.
constexpr std::array<std::string_view, 9> reserved_headers{
    "x-partition", "x-epoch",      "x-dispatcher-epoch", "x-request-id", "x-deadline-ms",
    "x-outcome",   "x-error-code", "x-revision",         "x-not-run"};

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        const auto lower = [](char c) {
            return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
        };
        return lower(a) == lower(b);
    });
}

bool is_forwarded(std::string_view name) {
    const auto matches = [&](std::string_view other) { return equal_ignoring_case(name, other); };
    return std::none_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), matches) &&
           std::none_of(reserved_headers.begin(), reserved_headers.end(), matches);
}

result<std::optional<milliseconds>> parse_deadline(std::string_view text,
                                                   const request_limits& limits) {
    if (text.empty()) {
        return std::optional<milliseconds>();
    }
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || value < 0 ||
        milliseconds(value) > limits.max_deadline) {
        return make_error_code(router_errc::invalid_deadline);
    }
    return std::optional<milliseconds>(milliseconds(value));
}

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD";
}

const release::work_kind* find_work_kind(const release::service_definition& service,
                                         std::string_view name) {
    for (const release::work_kind& kind : service.work_kinds) {
        if (kind.name == name) {
            return &kind;
        }
    }
    return nullptr;
}

}  // namespace

result<parsed_request> parse_request(http::request message, const request_limits& limits) {
    const std::string_view path = message.path;
    if (!path.starts_with(path_prefix)) {
        return make_error_code(router_errc::invalid_path);
    }
    const std::string_view rest = path.substr(path_prefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == 0 || slash == std::string_view::npos) {
        return make_error_code(router_errc::invalid_path);
    }
    parsed_request parsed;
    parsed.service = service_id(std::string(rest.substr(0, slash)));
    parsed.target = std::string(rest.substr(slash));
    if (!message.query.empty()) {
        parsed.target += "?" + message.query;
    }
    parsed.key = std::string(http::find_header(message.headers, "x-key"));
    parsed.caller = caller_id(std::string(http::find_header(message.headers, "x-caller")));
    parsed.work_kind = std::string(http::find_header(message.headers, "x-work-kind"));
    parsed.idempotency_key = std::string(http::find_header(message.headers, "idempotency-key"));
    if (parsed.key.size() > max_name_header_bytes) {
        return make_error_code(router_errc::missing_key);
    }
    if (parsed.caller.value().size() > max_name_header_bytes) {
        return make_error_code(router_errc::invalid_caller);
    }
    const auto deadline =
        parse_deadline(http::find_header(message.headers, "x-deadline-ms"), limits);
    if (!deadline) {
        return deadline.error();
    }
    parsed.deadline = *deadline;
    parsed.method = std::move(message.method);
    parsed.body = std::move(message.body);
    for (http::header& field : message.headers) {
        if (is_forwarded(field.name)) {
            parsed.headers.push_back(std::move(field));
        }
    }
    return parsed;
}

result<classified_request> classify_request(parsed_request request,
                                            const release::catalogue& catalogue,
                                            const request_limits& limits, time_point now) {
    const auto found = catalogue.services.find(request.service);
    if (found == catalogue.services.end()) {
        return make_error_code(router_errc::unknown_service);
    }
    const release::service_definition& service = found->second;
    if (service.divided && request.key.empty()) {
        return make_error_code(router_errc::missing_key);
    }
    const auto key_rule = catalogue.keys.find({request.service, request.key});
    if (key_rule != catalogue.keys.end() && key_rule->second.withdrawn) {
        return make_error_code(router_errc::key_withdrawn);
    }
    if (!request.work_kind.empty()) {
        const release::work_kind* kind = find_work_kind(service, request.work_kind);
        if (kind == nullptr) {
            return make_error_code(router_errc::unknown_work_kind);
        }
        if (kind->body_bound > 0 && request.body.size() > kind->body_bound) {
            return make_error_code(router_errc::body_too_large);
        }
    }
    classified_request classified;
    classified.idempotent = is_safe_method(request.method);
    if (!classified.idempotent && request.idempotency_key.empty()) {
        return make_error_code(router_errc::missing_idempotency_key);
    }
    const milliseconds service_default =
        service.default_deadline.count() > 0 ? service.default_deadline : limits.default_deadline;
    classified.deadline = now + request.deadline.value_or(service_default);
    classified.service = &service;
    classified.request = std::move(request);
    return classified;
}

result<request_location> locate_request(const routing_view& view,
                                        const classified_request& request) {
    const auto found = view.maps.find(request.request.service);
    if (found == view.maps.end()) {
        return make_error_code(router_errc::service_not_ready);
    }
    const placement::service_map& map = *found->second;
    if (map.partitions.empty()) {
        return make_error_code(router_errc::service_not_ready);
    }
    const placement::location place = placement::locate(map, request.request.key);
    if (place.server == placement::no_server || place.server >= map.servers.size()) {
        return make_error_code(router_errc::service_not_ready);
    }
    request_location location;
    location.server = map.servers[place.server].server;
    location.index = place.server;
    location.partition = place.partition;
    location.map = map.version;
    location.dispatcher = find_dispatcher(view, map, place.server);
    return location;
}

int status_of(outcome state, std::error_code code) {
    constexpr int bad_request = 400;
    constexpr int not_found = 404;
    constexpr int too_large = 413;
    constexpr int too_many_requests = 429;
    constexpr int bad_gateway = 502;
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    if (state == outcome::unknown) {
        return code == router_errc::deadline_exceeded ? gateway_timeout : bad_gateway;
    }
    if (code == router_errc::unknown_service || code == router_errc::key_withdrawn ||
        code == router_errc::not_found) {
        return not_found;
    }
    if (code == router_errc::invalid_path || code == router_errc::missing_key ||
        code == router_errc::missing_idempotency_key || code == router_errc::invalid_deadline ||
        code == router_errc::unknown_work_kind || code == router_errc::invalid_caller ||
        code == router_errc::malformed_order || code == admission::admission_errc::invalid_id ||
        code == admission::admission_errc::id_in_future ||
        code == admission::admission_errc::id_reused) {
        return bad_request;
    }
    if (code == router_errc::body_too_large) {
        return too_large;
    }
    if (code == admission::admission_errc::caller_over_share ||
        code == admission::admission_errc::quarantined) {
        return too_many_requests;
    }
    return unavailable;
}

}  // namespace greengagechute::router
