#include "settings/load.h"

#include "ini_text.h"
#include "values.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <utility>

namespace greengagechute::settings {

namespace {

constexpr std::size_t largest_file = 65'536;
constexpr std::size_t largest_key_file = 4'096;

struct located_value {
    setting_value value;
    /// 0 for a default.
    std::size_t line = 0;
};

using key_name = std::pair<std::string_view, std::string_view>;

/// One load: the values by key and the errors so far.
struct loader {
    std::string file;
    const load_options& options;
    std::map<key_name, located_value> values;
    /// Keys that were given, also with a faulty value.
    std::map<key_name, std::size_t> given;
    std::vector<load_error> errors;
};

std::string qualified(std::string_view section, std::string_view key) {
    return "[" + std::string(section) + "] " + std::string(key);
}

void add_error(loader& state, settings_errc code, std::size_t line, std::string text) {
    state.errors.push_back({make_error_code(code), state.file, line, std::move(text)});
}

const key_description* find_description(std::string_view section, std::string_view key) {
    for (const key_description& description : key_descriptions()) {
        if (description.section == section && description.key == key) {
            return &description;
        }
    }
    return nullptr;
}

bool is_known_section(std::string_view section) {
    const auto keys = key_descriptions();
    return std::any_of(keys.begin(), keys.end(), [section](const key_description& description) {
        return description.section == section;
    });
}

void check_sections(loader& state, const ini_text& content) {
    for (const ini_section& section : content.sections) {
        if (!is_known_section(section.name)) {
            add_error(state, settings_errc::unknown_section, section.line,
                      "[" + section.name + "] is unknown");
        }
    }
}

void store_value(loader& state, const key_description& description, std::string_view text,
                 std::size_t line) {
    parsed_value parsed = parse_value(description, text);
    if (const auto* fault = std::get_if<value_fault>(&parsed)) {
        add_error(state, fault->code, line,
                  qualified(description.section, description.key) + ": " + fault->text);
        return;
    }
    state.values[{description.section, description.key}] = {
        std::get<setting_value>(std::move(parsed)), line};
}

void load_entry(loader& state, const ini_entry& entry) {
    if (entry.section.empty()) {
        add_error(state, settings_errc::syntax_error, entry.line,
                  entry.key + " stands before the first section");
        return;
    }
    if (!is_known_section(entry.section)) {
        return;
    }
    const key_description* description = find_description(entry.section, entry.key);
    if (description == nullptr) {
        add_error(state, settings_errc::unknown_key, entry.line,
                  qualified(entry.section, entry.key) + " is unknown");
        return;
    }
    const key_name name{description->section, description->key};
    if (!state.given.emplace(name, entry.line).second) {
        add_error(state, settings_errc::duplicate_key, entry.line,
                  qualified(entry.section, entry.key) + " is also given in line " +
                      std::to_string(state.given[name]));
        return;
    }
    if (entry.continued && description->type != value_type::address_list) {
        add_error(state, settings_errc::invalid_value, entry.line,
                  qualified(entry.section, entry.key) + " may not continue on another line");
        return;
    }
    store_value(state, *description, entry.value, entry.line);
}

void add_defaults(loader& state) {
    for (const key_description& description : key_descriptions()) {
        const key_name name{description.section, description.key};
        if (state.given.contains(name)) {
            continue;
        }
        if (description.required) {
            add_error(state, settings_errc::missing_key, 0,
                      qualified(description.section, description.key) + " is missing");
        } else if (!description.default_value.empty()) {
            store_value(state, description, description.default_value, 0);
        }
    }
}

/// The value of a key, or an empty one if it is missing or faulty; its error is reported already.
template <typename type>
type get(const loader& state, std::string_view section, std::string_view key) {
    const auto found = state.values.find({section, key});
    if (found == state.values.end()) {
        return type{};
    }
    return std::get<type>(found->second.value);
}

bool has_value(const loader& state, std::string_view section, std::string_view key) {
    return state.values.contains({section, key});
}

std::size_t line_of(const loader& state, std::string_view section, std::string_view key) {
    const auto found = state.given.find({section, key});
    return found == state.given.end() ? 0 : found->second;
}

milliseconds get_time(const loader& state, std::string_view section, std::string_view key) {
    return milliseconds(get<std::int64_t>(state, section, key));
}

std::size_t get_size(const loader& state, std::string_view section, std::string_view key) {
    return static_cast<std::size_t>(get<std::int64_t>(state, section, key));
}

result<std::string> read_bounded(const std::string& path, std::size_t limit) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return make_error_code(settings_errc::unreadable_file);
    }
    std::string text(limit + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (stream.bad() || text.size() > limit) {
        return make_error_code(settings_errc::unreadable_file);
    }
    return text;
}

result<std::string> read_key_file(const loader& state, const std::string& path) {
    const auto full_path = std::filesystem::path(state.file).parent_path() / path;
    auto content = state.options.read_file ? state.options.read_file(full_path.string())
                                           : read_bounded(full_path.string(), largest_key_file);
    if (!content) {
        return content;
    }
    std::string text = *std::move(content);
    const std::size_t last = text.find_last_not_of("\r\n");
    text.resize(last == std::string::npos ? 0 : last + 1);
    return text;
}

std::string load_key_file(loader& state, std::string_view section) {
    const std::size_t line = line_of(state, section, "key_file");
    const auto text = read_key_file(state, get<std::string>(state, section, "key_file"));
    if (!text) {
        add_error(state, settings_errc::unreadable_file, line,
                  qualified(section, "key_file") + " cannot be read");
        return {};
    }
    const parsed_value parsed = parse_value(*find_description(section, "key"), *text);
    if (const auto* fault = std::get_if<value_fault>(&parsed)) {
        add_error(state, fault->code, line, qualified(section, "key_file") + ": " + fault->text);
        return {};
    }
    return *text;
}

std::string load_key(loader& state, std::string_view section) {
    if (!has_value(state, section, "key_file")) {
        return get<std::string>(state, section, "key");
    }
    if (line_of(state, section, "key") != 0) {
        add_error(state, settings_errc::contradiction, line_of(state, section, "key_file"),
                  qualified(section, "key_file") + " and key are both given");
        return {};
    }
    return load_key_file(state, section);
}

bool key_is_given(const loader& state, std::string_view section) {
    return line_of(state, section, "key") != 0 || line_of(state, section, "key_file") != 0;
}

host_settings build_host(const loader& state) {
    host_settings host;
    host.name = host_id(get<std::string>(state, "host", "name"));
    host.region = region_id(get<std::string>(state, "host", "region"));
    host.data_centre = data_centre_id(get<std::string>(state, "host", "data_centre"));
    host.caller_listen = get<socket_address>(state, "host", "caller_listen");
    host.admin_listen = get<socket_address>(state, "host", "admin_listen");
    host.peer_listen = get<socket_address>(state, "host", "peer_listen");
    return host;
}

limit_settings build_limits(const loader& state) {
    limit_settings limits;
    limits.header_bytes = get_size(state, "limits", "header_bytes");
    limits.body_bytes = get_size(state, "limits", "body_bytes");
    limits.buffered_answer_bytes = get_size(state, "limits", "buffered_answer_bytes");
    limits.caller_connections = get_size(state, "limits", "caller_connections");
    limits.default_deadline = get_time(state, "limits", "default_deadline_ms");
    limits.max_deadline = get_time(state, "limits", "max_deadline_ms");
    return limits;
}

timing_settings build_timing(const loader& state) {
    timing_settings timing;
    timing.grant_length = get_time(state, "timing", "grant_length_ms");
    timing.renew_period = get_time(state, "timing", "renew_period_ms");
    timing.suspect_after = get_time(state, "timing", "suspect_after_ms");
    timing.watch_period = get_time(state, "timing", "watch_period_ms");
    timing.watch_lost_after = get_time(state, "timing", "watch_lost_after_ms");
    timing.heartbeat = get_time(state, "timing", "heartbeat_ms");
    timing.standing = get_time(state, "timing", "standing_ms");
    timing.removal = get_time(state, "timing", "removal_ms");
    timing.term = get_time(state, "timing", "term_ms");
    timing.drain_delay = get_time(state, "timing", "drain_delay_ms");
    return timing;
}

policy_settings build_policy(const loader& state) {
    policy_settings policy;
    const bool by_arrival = get<std::string>(state, "policy", "queue_order") == "arrival";
    policy.order = by_arrival ? queue_order::arrival : queue_order::shortest_expected;
    policy.long_work_cap = get<bool>(state, "policy", "long_work_cap");
    policy.fair_shares = get<bool>(state, "policy", "fair_shares");
    policy.admission_by_wait = get<bool>(state, "policy", "admission_by_wait");
    policy.retry_budget = get<bool>(state, "policy", "retry_budget");
    policy.slow_start = get<bool>(state, "policy", "slow_start");
    policy.shared_reads = get<bool>(state, "policy", "shared_reads");
    policy.ejection = get<bool>(state, "policy", "ejection");
    return policy;
}

log_level parse_level(std::string_view text) {
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    if (text == "error") {
        return log_level::error;
    }
    return log_level::info;
}

daemon_settings build(loader& state) {
    daemon_settings settings;
    settings.host = build_host(state);
    settings.platform.endpoint = get<socket_address>(state, "platform", "endpoint");
    settings.platform.timeout = get_time(state, "platform", "timeout_ms");
    settings.peers.key = load_key(state, "peers");
    settings.peers.allow_plaintext_on_loopback =
        get<bool>(state, "peers", "allow_plaintext_on_loopback");
    settings.peers.seeds = get<std::vector<socket_address>>(state, "peers", "seeds");
    settings.operators.key = load_key(state, "operators");
    settings.limits = build_limits(state);
    settings.timing = build_timing(state);
    settings.policy = build_policy(state);
    settings.log.level = parse_level(get<std::string>(state, "log", "level"));
    settings.log.directory = get<std::string>(state, "log", "directory");
    return settings;
}

/// A relation between two keys of one section: `larger` is at least `factor` times `smaller`.
struct relation {
    std::string_view section;
    std::string_view smaller;
    std::string_view larger;
    std::int64_t factor = 1;
};

// The factors leave room for a lost message: one renewal, reply or watch message may be lost before
// the longer time passes, and two heartbeats.
constexpr std::array relations{
    relation{"limits", "default_deadline_ms", "max_deadline_ms", 1},
    relation{"timing", "renew_period_ms", "grant_length_ms", 2},
    relation{"timing", "renew_period_ms", "suspect_after_ms", 2},
    relation{"timing", "watch_period_ms", "watch_lost_after_ms", 2},
    relation{"timing", "heartbeat_ms", "standing_ms", 3},
    relation{"timing", "standing_ms", "removal_ms", 1},
};

void check_relation(loader& state, const relation& rule) {
    if (!has_value(state, rule.section, rule.smaller) ||
        !has_value(state, rule.section, rule.larger)) {
        return;
    }
    const auto smaller = get<std::int64_t>(state, rule.section, rule.smaller);
    const auto larger = get<std::int64_t>(state, rule.section, rule.larger);
    if (smaller * rule.factor <= larger) {
        return;
    }
    const std::size_t line = std::max(line_of(state, rule.section, rule.smaller),
                                      line_of(state, rule.section, rule.larger));
    add_error(state, settings_errc::contradiction, line,
              qualified(rule.section, rule.larger) + " (" + std::to_string(larger) +
                  ") must be at least " + std::to_string(rule.factor) + " times " +
                  std::string(rule.smaller) + " (" + std::to_string(smaller) + ")");
}

void check_removal(loader& state, const timing_settings& timing) {
    // A host whose clock is slow keeps its standing longer than its peers count.
    const bool within = timing.standing <= timing.removal;
    if (within && longest_local(timing.standing) > timing.removal) {
        add_error(state, settings_errc::contradiction, line_of(state, "timing", "removal_ms"),
                  "[timing] removal_ms must exceed standing_ms by the clock-rate bound of 1%");
    }
}

void check_port(loader& state, std::string_view section, std::string_view key, bool allow_zero) {
    const bool is_zero = get<socket_address>(state, section, key).port == 0;
    if (has_value(state, section, key) && is_zero && !allow_zero) {
        add_error(state, settings_errc::out_of_range, line_of(state, section, key),
                  qualified(section, key) + ": port 0 is not allowed");
    }
}

void check_listeners(loader& state) {
    constexpr std::array<std::string_view, 3> listeners{"caller_listen", "admin_listen",
                                                        "peer_listen"};
    for (std::size_t index = 0; index < listeners.size(); ++index) {
        check_port(state, "host", listeners[index], state.options.allow_port_zero);
        const auto address = get<socket_address>(state, "host", listeners[index]);
        for (std::size_t other = 0; other < index; ++other) {
            if (address.port != 0 &&
                address == get<socket_address>(state, "host", listeners[other])) {
                add_error(state, settings_errc::contradiction,
                          line_of(state, "host", listeners[index]),
                          qualified("host", listeners[index]) + " and " +
                              std::string(listeners[other]) + " are the same address");
            }
        }
    }
    check_port(state, "platform", "endpoint", false);
}

bool is_on_loopback(const daemon_settings& settings) {
    const auto& seeds = settings.peers.seeds;
    return settings.host.peer_listen.is_loopback() &&
           std::all_of(seeds.begin(), seeds.end(),
                       [](const socket_address& seed) { return seed.is_loopback(); });
}

void check_keys(loader& state, const daemon_settings& settings) {
    const bool plaintext = settings.peers.allow_plaintext_on_loopback;
    if (!key_is_given(state, "peers") && !plaintext) {
        add_error(state, settings_errc::missing_key, 0, "[peers] key or key_file is missing");
    }
    if (plaintext && !is_on_loopback(settings)) {
        add_error(state, settings_errc::contradiction,
                  line_of(state, "peers", "allow_plaintext_on_loopback"),
                  "[peers] allow_plaintext_on_loopback requires peer_listen and all seeds on "
                  "loopback");
    }
    if (!key_is_given(state, "operators")) {
        add_error(state, settings_errc::missing_key, 0, "[operators] key or key_file is missing");
    }
    // A daemon must not be able to sign an operator's order.
    if (!settings.peers.key.empty() && settings.peers.key == settings.operators.key) {
        add_error(
            state, settings_errc::contradiction,
            std::max(line_of(state, "operators", "key"), line_of(state, "operators", "key_file")),
            "[operators] key is the same as [peers] key");
    }
}

void check_contradictions(loader& state, const daemon_settings& settings) {
    for (const relation& rule : relations) {
        check_relation(state, rule);
    }
    check_removal(state, settings.timing);
    check_listeners(state);
    check_keys(state, settings);
}

/// By line; errors without a line come last.
void sort_errors(std::vector<load_error>& errors) {
    std::stable_sort(errors.begin(), errors.end(),
                     [](const load_error& first, const load_error& second) {
                         return first.line - 1 < second.line - 1;
                     });
}

}  // namespace

std::string load_error::message() const {
    std::string prefix = this->file + ":";
    if (this->line != 0) {
        prefix += std::to_string(this->line) + ":";
    }
    return prefix + " " + this->text + " (" + std::to_string(this->code.value()) + ")";
}

load_result load(std::string_view text, std::string_view file_name, const load_options& options) {
    ini_text content = parse_ini(text, file_name);
    loader state{std::string(file_name), options, {}, {}, std::move(content.errors)};
    check_sections(state, content);
    for (const ini_entry& entry : content.entries) {
        load_entry(state, entry);
    }
    add_defaults(state);
    daemon_settings settings = build(state);
    check_contradictions(state, settings);
    if (!state.errors.empty()) {
        sort_errors(state.errors);
        return {std::nullopt, std::move(state.errors)};
    }
    return {std::move(settings), {}};
}

load_result load_file(const std::string& path, const load_options& options) {
    const auto text = read_bounded(path, largest_file);
    if (!text) {
        return {std::nullopt, {{text.error(), path, 0, "the file cannot be read"}}};
    }
    return load(*text, path, options);
}

}  // namespace greengagechute::settings
