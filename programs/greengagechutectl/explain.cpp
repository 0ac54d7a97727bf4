#include "explain.h"

#include "base/errors.h"
#include "gateway/errors.h"
#include "wire/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <sstream>
#include <string_view>

namespace greengagechute::ctl {

namespace {

using nlohmann::ordered_json;

/// Beliefs that changed this long before the request may explain it: a lease, its takeover and the
/// return of entries after an outage take about two seconds each.
constexpr std::int64_t context_before_us = 5'000'000;
constexpr std::int64_t us_per_second = 1'000'000;
constexpr std::size_t most_context_lines = 60;
constexpr int ms_decimals = 1'000;

struct log_line {
    std::int64_t time_us = 0;
    std::string clock;
    std::string host;
    std::string event;
    ordered_json members;
};

/// Microseconds since 1970 of "2026-01-02T03:04:05.678901Z".
std::optional<std::int64_t> parse_time(const std::string& text) {
    std::tm parts{};
    std::istringstream stream(text);
    char point = 0;
    char fraction[7] = {};
    int year = 0;
    int month = 0;
    char separator = 0;
    stream >> year >> separator >> month >> separator >> parts.tm_mday >> separator >>
        parts.tm_hour >> separator >> parts.tm_min >> separator >> parts.tm_sec >> point;
    stream.read(fraction, 6);
    if (!stream || point != '.') {
        return std::nullopt;
    }
    constexpr int first_year = 1900;
    parts.tm_year = year - first_year;
    parts.tm_mon = month - 1;
    return timegm(&parts) * us_per_second + std::strtoll(fraction, nullptr, 10);
}

std::optional<log_line> parse_line(const std::string& text) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    log_line line;
    line.members = ordered_json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin),
                                       text.end(), nullptr, false);
    const auto take = [&line](const char* name, std::string& target) {
        const auto found = line.members.find(name);
        if (found == line.members.end() || !found->is_string()) {
            return false;
        }
        target = found->get<std::string>();
        line.members.erase(found);
        return true;
    };
    if (!line.members.is_object() || !take("time", line.clock) || !take("host", line.host) ||
        !take("event", line.event)) {
        return std::nullopt;
    }
    const auto time = parse_time(line.clock);
    if (!time) {
        return std::nullopt;
    }
    line.time_us = *time;
    line.members.erase("level");
    return line;
}

std::string text_of(const ordered_json& members, const char* name) {
    const auto found = members.find(name);
    return found != members.end() && found->is_string() ? found->get<std::string>() : "";
}

std::optional<std::int64_t> number_of(const ordered_json& members, const char* name) {
    const auto found = members.find(name);
    if (found == members.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    return found->get<std::int64_t>();
}

/// Name and text of an error's number.
std::string describe_error(std::int64_t number) {
    for (const std::span<const error_entry> table : {gateway::error_table(), wire::error_table()}) {
        for (const error_entry& entry : table) {
            if (entry.number == number) {
                return std::string(entry.name) + ": " + std::string(entry.text);
            }
        }
    }
    return "unknown error";
}

std::string describe(const log_line& line) {
    std::string text = line.event;
    for (const auto& [name, value] : line.members.items()) {
        if (name == "request") {
            continue;
        }
        text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        if (name == "error" && value.is_number_integer()) {
            text += " (" + describe_error(value.get<std::int64_t>()) + ")";
        }
    }
    return text;
}

/// What the request was about, by its own lines.
struct subject {
    std::set<std::string> hosts;
    std::set<std::string> servers;
    std::set<std::string> services;
    std::optional<std::int64_t> key;
    std::int64_t first_us = 0;
    std::int64_t last_us = 0;
};

subject subject_of(const std::vector<log_line>& lines) {
    subject about;
    about.first_us = lines.front().time_us;
    about.last_us = lines.back().time_us;
    for (const log_line& line : lines) {
        about.hosts.insert(line.host);
        if (const std::string server = text_of(line.members, "server"); !server.empty()) {
            about.servers.insert(server);
        }
        if (const std::string service = text_of(line.members, "service"); !service.empty()) {
            about.services.insert(service);
        }
        const auto key = number_of(line.members, "key");
        if (key && *key >= 0) {
            about.key = key;
        }
    }
    return about;
}

bool is_of_process(const std::string& event) {
    static constexpr std::array<std::string_view, 12> events{"started",
                                                             "stopping",
                                                             "stopped",
                                                             "settings_checked",
                                                             "log_lines_dropped",
                                                             "configuration_in_force",
                                                             "coordinating",
                                                             "coordination_ended",
                                                             "coordinator_lost",
                                                             "store_watch_lost",
                                                             "store_watch_regained",
                                                             "configuration_refused"};
    return std::find(events.begin(), events.end(), event) != events.end();
}

/// Whether a line about no request may explain one.
bool concerns(const log_line& line, const subject& about) {
    if (line.time_us < about.first_us - context_before_us || line.time_us > about.last_us) {
        return false;
    }
    const bool same_host = about.hosts.contains(line.host);
    if (is_of_process(line.event)) {
        return same_host || line.event == "coordinating" || line.event == "coordination_ended";
    }
    const auto first = number_of(line.members, "first");
    const auto last = number_of(line.members, "last");
    if (first && last) {
        return about.key && *first <= *about.key && *about.key <= *last &&
               about.services.contains(text_of(line.members, "service"));
    }
    const std::string server = text_of(line.members, "server");
    if (!server.empty()) {
        return same_host && about.servers.contains(server);
    }
    return about.services.contains(text_of(line.members, "service")) &&
           (same_host || line.event == "owners_change");
}

std::string since(std::int64_t from_us, std::int64_t time_us) {
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(1);
    text << static_cast<double>(time_us - from_us) / ms_decimals << " ms";
    return (time_us >= from_us ? "+" : "") + text.str();
}

void print_lines(std::ostream& text, const std::vector<const log_line*>& lines,
                 const subject& about) {
    for (const log_line* line : lines) {
        text << "  " << since(about.first_us, line->time_us) << "  " << line->host << "  "
             << describe(*line) << "\n";
    }
}

/// Parts of the trail, or of the logs, that are not there.
std::vector<std::string> missing_parts(const std::vector<log_line>& trail,
                                       const std::vector<const log_line*>& context,
                                       std::size_t unreadable) {
    const auto has = [&trail](std::string_view event) {
        return std::any_of(trail.begin(), trail.end(),
                           [event](const log_line& line) { return line.event == event; });
    };
    std::vector<std::string> missing;
    if (!has("request_accepted") && !has("request_rejected")) {
        missing.emplace_back("the line of its arrival (request_accepted)");
    }
    if (!has("request_answered") && !has("request_rejected") && !has("caller_left")) {
        missing.emplace_back("the line of its end (request_answered, caller_left)");
    }
    for (const log_line* line : context) {
        if (line->event == "log_lines_dropped") {
            missing.emplace_back("lines that " + line->host + " dropped: " + line->members.dump());
        }
    }
    if (unreadable > 0) {
        missing.push_back(std::to_string(unreadable) +
                          " lines that could not be read, as of a file that was cut");
    }
    return missing;
}

}  // namespace

account explain(const std::string& request_id, const std::vector<log_source>& sources) {
    std::vector<log_line> trail;
    std::vector<log_line> others;
    std::size_t unreadable = 0;
    for (const log_source& source : sources) {
        for (std::string text; std::getline(*source.stream, text);) {
            auto line = parse_line(text);
            if (!line) {
                unreadable += text.empty() ? 0 : 1;
                continue;
            }
            const std::string request = text_of(line->members, "request");
            if (request == request_id) {
                trail.push_back(std::move(*line));
            } else if (request.empty()) {
                others.push_back(std::move(*line));
            }
        }
    }
    const auto earlier = [](const log_line& left, const log_line& right) {
        return left.time_us < right.time_us;
    };
    std::stable_sort(trail.begin(), trail.end(), earlier);
    std::stable_sort(others.begin(), others.end(), earlier);
    std::ostringstream text;
    if (trail.empty()) {
        text << "no line about request " << request_id << " in " << sources.size()
             << " files; a host that was killed writes none about its open requests";
        if (unreadable > 0) {
            text << "; " << unreadable << " lines could not be read";
        }
        text << "\n";
        return {text.str(), false};
    }
    const subject about = subject_of(trail);
    std::vector<const log_line*> own;
    own.reserve(trail.size());
    for (const log_line& line : trail) {
        own.push_back(&line);
    }
    std::vector<const log_line*> context;
    for (const log_line& line : others) {
        if (concerns(line, about)) {
            context.push_back(&line);
        }
    }
    text << "request " << request_id << ", from " << trail.front().clock << "\n";
    print_lines(text, own, about);
    if (context.size() > most_context_lines) {
        text << "changes before it, the last " << most_context_lines << " of " << context.size()
             << ":\n";
        context.erase(context.begin(),
                      context.end() - static_cast<std::ptrdiff_t>(most_context_lines));
    } else {
        text << (context.empty() ? "no changes before it\n" : "changes before it:\n");
    }
    print_lines(text, context, about);
    for (const std::string& part : missing_parts(trail, context, unreadable)) {
        text << "missing: " << part << "\n";
    }
    return {text.str(), true};
}

}  // namespace greengagechute::ctl
