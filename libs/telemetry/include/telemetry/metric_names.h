#pragma once

#include <string_view>

/// Metrics for the measures of section 1 of the design.
namespace greengagechute::telemetry::metric_names {

// Requests and their outcome.
inline constexpr std::string_view requests_total = "greengagechute_requests_total";
inline constexpr std::string_view request_duration = "greengagechute_request_duration_seconds";
inline constexpr std::string_view refused_total = "greengagechute_refused_total";
inline constexpr std::string_view requests_in_progress = "greengagechute_requests_in_progress";

// Load imbalance across servers: the maximum over the mean of `server_load`, worked out by the
// monitoring system, since no host knows the load of all servers.
inline constexpr std::string_view server_load = "greengagechute_server_load_ratio";

// Churn of key ownership: partitions moved, to be compared with joins and leaves of servers.
inline constexpr std::string_view partitions_moved_total = "greengagechute_partitions_moved_total";

// Time during which keys are unavailable shows as `refused_total` and `deadline_missed_total`.
inline constexpr std::string_view takeovers_total = "greengagechute_takeovers_total";

// Service quality at the peak of a demand swing.
inline constexpr std::string_view goodput_total = "greengagechute_answered_in_deadline_total";
inline constexpr std::string_view deadline_missed_total = "greengagechute_deadline_missed_total";
inline constexpr std::string_view retries_total = "greengagechute_retries_total";
inline constexpr std::string_view first_tries_total = "greengagechute_first_tries_total";

// Head-of-line blocking of short work behind long work.
inline constexpr std::string_view queue_length = "greengagechute_queue_length";
inline constexpr std::string_view queue_wait = "greengagechute_queue_wait_seconds";
inline constexpr std::string_view predicted_wait = "greengagechute_predicted_wait_seconds";
inline constexpr std::string_view service_duration = "greengagechute_service_duration_seconds";
inline constexpr std::string_view long_work_running = "greengagechute_long_work_running";

// Traffic between regions, which is billed by volume.
inline constexpr std::string_view cross_region_bytes_total =
    "greengagechute_cross_region_bytes_total";
inline constexpr std::string_view dropped_messages_total = "greengagechute_dropped_messages_total";

// Configuration.
inline constexpr std::string_view active_revision = "greengagechute_active_revision";
inline constexpr std::string_view note_activation = "greengagechute_note_activation_seconds";

/// Values of the label `work` of the queue metrics.
inline constexpr std::string_view short_work = "short";
inline constexpr std::string_view long_work = "long";

}  // namespace greengagechute::telemetry::metric_names
