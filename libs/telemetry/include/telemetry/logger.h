#pragma once

#include "base/result.h"
#include "base/time.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace greengagechute::telemetry {

enum class level { debug, info, warning, error };

/// A named value of a log line. Refers to the caller's text; valid during the call only.
struct field {
    using value_type = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

    std::string_view name;
    value_type value;

    field(std::string_view field_name, bool content) : name(field_name), value(content) {}
    template <std::integral type>
    field(std::string_view field_name, type content) : name(field_name), value(convert(content)) {}
    field(std::string_view field_name, double content) : name(field_name), value(content) {}
    field(std::string_view field_name, std::string_view content)
        : name(field_name), value(content) {}
    field(std::string_view field_name, const std::string& content)
        : name(field_name), value(std::string_view(content)) {}
    field(std::string_view field_name, const char* content)
        : name(field_name), value(std::string_view(content)) {}
    /// A duration in milliseconds.
    field(std::string_view field_name, milliseconds content)
        : name(field_name), value(std::int64_t{content.count()}) {}
    /// The number of an error code.
    field(std::string_view field_name, const std::error_code& content)
        : name(field_name), value(std::int64_t{content.value()}) {}

private:
    template <std::integral type>
    static value_type convert(type content) {
        if constexpr (std::signed_integral<type>) {
            return std::int64_t{content};
        } else {
            return std::uint64_t{content};
        }
    }
};

enum class log_output { standard_error, standard_output };

struct logger_options {
    level minimum = level::info;
    /// Directory of the log file `greengagechute.log`; empty for `output`.
    std::string directory;
    /// Standard output is never waited for: lines that its reader does not take in time are
    /// dropped, routine ones first, and a line `log_lines_dropped` counts them.
    log_output output = log_output::standard_error;
    /// Value of the field `host` of each line.
    std::string host;
    /// Lines per event name and second; further ones are dropped, and the next line of the event
    /// carries their number in the field `dropped`. 0 means no limit.
    std::uint32_t lines_per_second = 20;
};

/// Lines about one request, written or dropped together, so that what is there is whole.
class request_trail {
public:
    explicit request_trail(std::string request_id) : request(std::move(request_id)) {}

private:
    friend class logger;
    std::string request;
    std::string lines;
    /// A line is a warning or an error: kept before the trails of other requests.
    bool failed = false;
};

/// Writes one JSON object a line: time, level, host, event, then the fields. Thread-safe.
class logger {
public:
    /// Errors: `telemetry_errc::log_file_failed`.
    static result<std::shared_ptr<logger>> create(const logger_options& options);

    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;
    ~logger();

    /// @param event   name of the event in snake_case
    /// @param now     for the rate limit
    void write(level severity, std::string_view event, std::initializer_list<field> fields,
               time_point now);

    /// Adds a line to a request's trail, with the present time and the request's id. A trail has at
    /// most `most_trail_bytes`; further lines are left out, but for warnings and errors.
    void add(request_trail& trail, level severity, std::string_view event,
             std::initializer_list<field> fields);
    static constexpr std::size_t most_trail_bytes = 8'192;
    /// Writes the lines of a request that has ended.
    void write(const request_trail& trail, time_point now);
    /// Writes lines that wait for the reader of standard output.
    void flush();

    bool enabled(level severity) const;

private:
    struct state;
    explicit logger(std::unique_ptr<state> initial);

    std::unique_ptr<state> implementation;
};

void log_debug(logger& log, std::string_view event, std::initializer_list<field> fields);
void log_info(logger& log, std::string_view event, std::initializer_list<field> fields);
void log_warning(logger& log, std::string_view event, std::initializer_list<field> fields);
void log_error(logger& log, std::string_view event, std::initializer_list<field> fields);

}  // namespace greengagechute::telemetry
