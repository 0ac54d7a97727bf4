#include "settings/load.h"

#include <array>

namespace greengagechute::settings {

namespace {

constexpr std::int64_t second = 1'000;
constexpr std::int64_t minute = 60 * second;
constexpr std::int64_t kibibyte = 1'024;
constexpr std::int64_t mebibyte = 1'024 * kibibyte;
constexpr std::int64_t longest_name = 64;
/// 16 characters hold 64 random bits even in hexadecimal.
constexpr std::int64_t shortest_key = 16;
constexpr std::int64_t longest_key = 128;
constexpr std::int64_t longest_path = 128;

constexpr key_description name_key(std::string_view section, std::string_view key) {
    return {section, key, value_type::name, "", 1, longest_name, "", true, ""};
}

constexpr key_description address_key(std::string_view section, std::string_view key) {
    return {section, key, value_type::address, "", 0, 0, "", true, ""};
}

constexpr key_description integer_key(std::string_view section, std::string_view key,
                                      std::string_view unit, std::int64_t minimum,
                                      std::int64_t maximum, std::string_view default_value) {
    return {section, key, value_type::integer, unit, minimum, maximum, default_value, false, ""};
}

constexpr key_description time_key(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                                   std::string_view default_value) {
    return integer_key("timing", key, "ms", minimum, maximum, default_value);
}

constexpr key_description switch_key(std::string_view section, std::string_view key,
                                     std::string_view default_value) {
    return {section, key, value_type::boolean, "", 0, 0, default_value, false, ""};
}

constexpr key_description secret_key(std::string_view section) {
    return {section, "key", value_type::text, "", shortest_key, longest_key, "", false, ""};
}

constexpr key_description path_key(std::string_view section, std::string_view key) {
    return {section, key, value_type::path, "", 1, longest_path, "", false, ""};
}

constexpr key_description choice_key(std::string_view section, std::string_view key,
                                     std::string_view choices, std::string_view default_value) {
    return {section, key, value_type::choice, "", 0, 0, default_value, false, choices};
}

constexpr std::array keys{
    name_key("host", "name"),
    name_key("host", "region"),
    name_key("host", "data_centre"),
    address_key("host", "caller_listen"),
    address_key("host", "admin_listen"),
    address_key("host", "peer_listen"),
    address_key("platform", "endpoint"),
    integer_key("platform", "timeout_ms", "ms", 10, 30 * second, "2000"),
    secret_key("peers"),
    path_key("peers", "key_file"),
    switch_key("peers", "allow_plaintext_on_loopback", "off"),
    key_description{"peers", "seeds", value_type::address_list, "", 0, 64, "", false, ""},
    secret_key("operators"),
    path_key("operators", "key_file"),
    integer_key("limits", "header_bytes", "bytes", kibibyte, 256 * kibibyte, "16384"),
    integer_key("limits", "body_bytes", "bytes", 0, 64 * mebibyte, "1048576"),
    integer_key("limits", "buffered_answer_bytes", "bytes", kibibyte, 16 * mebibyte, "65536"),
    integer_key("limits", "caller_connections", "connections", 1, 65'536, "4096"),
    integer_key("limits", "default_deadline_ms", "ms", 1, 10 * minute, "5000"),
    integer_key("limits", "max_deadline_ms", "ms", 1, 60 * minute, "60000"),
    time_key("grant_length_ms", 100, minute, "800"),
    time_key("renew_period_ms", 10, 30 * second, "200"),
    time_key("suspect_after_ms", 20, minute, "400"),
    time_key("watch_period_ms", 10, 30 * second, "150"),
    time_key("watch_lost_after_ms", 20, minute, "450"),
    time_key("heartbeat_ms", 50, 30 * second, "1000"),
    time_key("standing_ms", 200, 10 * minute, "6000"),
    time_key("removal_ms", 200, 60 * minute, "10000"),
    time_key("term_ms", 200, minute, "3000"),
    time_key("drain_delay_ms", 0, 5 * minute, "2000"),
    choice_key("policy", "queue_order", "shortest_expected|arrival", "shortest_expected"),
    switch_key("policy", "long_work_cap", "on"),
    switch_key("policy", "fair_shares", "on"),
    switch_key("policy", "admission_by_wait", "on"),
    switch_key("policy", "retry_budget", "on"),
    switch_key("policy", "slow_start", "on"),
    switch_key("policy", "shared_reads", "on"),
    switch_key("policy", "ejection", "on"),
    choice_key("log", "level", "debug|info|warning|error", "info"),
    path_key("log", "directory"),
};

}  // namespace

std::span<const key_description> key_descriptions() {
    return keys;
}

}  // namespace greengagechute::settings
