#include "gateway/balancer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace greengagechute::gateway {

namespace {

/// Weight of a new sample in the exponential moving averages, which cover about the last ten.
constexpr double smoothing = 0.1;
/// Bounds of the factor by which a reported work time changes the expected service time.
constexpr double min_work_time_factor = 0.5;
constexpr double max_work_time_factor = 3.0;
/// Cost of a failed request, as a multiple of the latency of a successful one.
constexpr double failure_cost = 8.0;
/// Factor by which a server is slower while it warms up.
constexpr double cold_factor = 2.0;
constexpr double us_per_ms = 1'000.0;
/// Numbers of requests above this are not plausible, and their sums could overflow.
constexpr int max_reported_load = 1'000'000;

bool is_load_recent(const server_state& server, const balancer_settings& settings, time_point now) {
    return server.has_reported && now - server.reported_at < settings.max_load_age;
}

}  // namespace

std::optional<reported_load> parse_load(const std::string& text) {
    constexpr std::size_t required_fields = 3;
    std::array<int, required_fields + 1> fields{0, 0, 0, usual_work_time_percent};
    const char* at = text.data();
    const char* const end = text.data() + text.size();
    std::size_t count = 0;
    while (count < fields.size()) {
        int& field = fields.at(count);
        const auto [next, error] = std::from_chars(at, end, field);
        if (error != std::errc{} || field < 0 || field > max_reported_load) {
            return std::nullopt;
        }
        at = next;
        ++count;
        if (at == end) {
            break;
        }
        if (*at != ',') {
            return std::nullopt;
        }
        ++at;
    }
    if (count < required_fields || fields[2] == 0 || fields[3] == 0) {
        return std::nullopt;
    }
    return reported_load{fields[0], fields[1], fields[2], fields[3]};
}

int concurrency_limit(const server_state& server, int hosts, const balancer_settings& settings,
                      time_point now) {
    const double max_outstanding = settings.max_outstanding_per_slot * server.entry.slots;
    int limit = std::max(1, static_cast<int>(std::ceil(max_outstanding / std::max(1, hosts))));
    if (is_load_recent(server, settings, now)) {
        if (server.reported.running + server.reported.waiting < server.reported.slots) {
            ++limit;
        } else if (server.reported.waiting > 2 * server.reported.slots) {
            limit = 1;
        }
    } else {
        // Without a recent response the server probably gets few requests from other hosts either.
        ++limit;
    }
    return limit;
}

double expected_latency_ms(const server_state& server, distance server_distance,
                           const balancer_settings& settings, time_point now) {
    double network = 0;
    if (server_distance == distance::same_region) {
        network = 2 * settings.same_region_latency_ms;
    } else if (server_distance == distance::other_region) {
        network = 2 * settings.cross_region_latency_ms;
    }
    double service = server.latency_ms > 0 ? server.latency_ms : settings.initial_latency_ms;
    if (now < server.first_seen + server.entry.warmup_left || now < server.place.cold_until) {
        service *= cold_factor;
    }
    double outstanding = server.in_flight;
    if (is_load_recent(server, settings, now)) {
        service *= std::clamp(server.reported.work_time_percent / server.mean_work_time_percent,
                              min_work_time_factor, max_work_time_factor);
        outstanding =
            std::max<double>(outstanding, server.reported.running + server.reported.waiting);
    }
    const double slots = std::max(1, server.entry.slots);
    const double queued = std::max(0.0, outstanding + 1 - slots);
    // The second term prefers less loaded servers even below full load, since fewer running
    // requests mean less waiting behind requests of other hosts.
    const double wait = service * queued / slots + service * 0.1 * outstanding / slots;
    return network + (service + wait) * (1 + failure_cost * server.failure_share);
}

double placement_cost(const server_state& server, distance server_distance,
                      milliseconds target_latency, const balancer_settings& settings,
                      time_point now) {
    const double cross_region_penalty =
        server_distance == distance::other_region
            ? settings.cross_region_penalty_ratio * static_cast<double>(target_latency.count())
            : 0.0;
    return expected_latency_ms(server, server_distance, settings, now) + cross_region_penalty;
}

bool is_full(const server_state& server) {
    return server.has_reported &&
           server.reported.running + server.reported.waiting >= server.reported.slots;
}

bool is_available(const server_state& server, time_point now) {
    return !server.entry.draining && !server.replaced && now >= server.paused_until &&
           accepts_work(server.notices, now);
}

void record_answer(server_state& server, microseconds took, bool failed,
                   const balancer_settings& settings, time_point now) {
    const double ms = static_cast<double>(took.count()) / us_per_ms;
    if (!failed) {
        server.latency_ms =
            server.latency_ms > 0 ? server.latency_ms + smoothing * (ms - server.latency_ms) : ms;
    }
    server.failure_share += smoothing * ((failed ? 1.0 : 0.0) - server.failure_share);
    server.consecutive_failures = failed ? server.consecutive_failures + 1 : 0;
    if (server.consecutive_failures >= settings.max_consecutive_failures) {
        server.paused_until = now + settings.pause_duration;
        server.consecutive_failures = 0;
    }
}

void record_no_response(server_state& server, const balancer_settings& settings, time_point now) {
    server.failure_share += smoothing * (1.0 - server.failure_share);
    ++server.consecutive_failures;
    if (server.consecutive_failures >= settings.max_consecutive_failures) {
        server.paused_until = now + settings.pause_duration;
        server.consecutive_failures = 0;
    }
}

void record_excessive_response(server_state& server, const balancer_settings& settings,
                               time_point now) {
    record_no_response(server, settings, now);
    server.paused_until = now + settings.pause_duration;
}

void record_load(server_state& server, const reported_load& load, time_point now) {
    server.reported = load;
    server.mean_work_time_percent += (server.has_reported ? smoothing : 1.0) *
                                     (load.work_time_percent - server.mean_work_time_percent);
    server.reported_at = now;
    server.has_reported = true;
}

}  // namespace greengagechute::gateway
