#include "telemetry/logger.h"

#include "json_line.h"
#include "line_writer.h"
#include "rate_limit.h"
#include "telemetry/errors.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace greengagechute::telemetry {

namespace {

constexpr std::string_view log_file_name = "/greengagechute.log";
constexpr std::chrono::seconds reopen_check_period{1};

std::string_view name_of(level severity) {
    switch (severity) {
        case level::debug:
            return "debug";
        case level::info:
            return "info";
        case level::warning:
            return "warning";
        case level::error:
            break;
    }
    return "error";
}

/// glog has no severity below INFO; the level is a field of the line.
google::LogSeverity glog_severity(level severity) {
    switch (severity) {
        case level::debug:
        case level::info:
            return google::GLOG_INFO;
        case level::warning:
            return google::GLOG_WARNING;
        case level::error:
            break;
    }
    return google::GLOG_ERROR;
}

constexpr int microseconds_per_second = 1'000'000;

std::string time_text(std::time_t seconds, std::int64_t microseconds) {
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ",
                  static_cast<int>(microseconds % microseconds_per_second));
    return std::string(text.data(), length) + fraction.data();
}

/// The file descriptor that lines are written to.
class line_file {
public:
    /// @param file_path  empty for standard error
    explicit line_file(std::string file_path) : path(std::move(file_path)) {
        if (this->path.empty()) {
            this->descriptor = STDERR_FILENO;
        } else {
            this->open_file();
        }
    }
    line_file(const line_file&) = delete;
    line_file& operator=(const line_file&) = delete;
    ~line_file() { this->close_file(); }

    bool is_open() const { return this->descriptor >= 0; }

    /// Writes a line at `now`, a time in seconds. A line that cannot be written is lost: a full
    /// disk must not stop the daemon.
    void write_line(const std::string& line, std::time_t now) {
        if (now - this->last_check >= reopen_check_period.count()) {
            this->last_check = now;
            this->reopen_if_renamed();
        }
        std::size_t written = 0;
        while (written < line.size()) {
            const ssize_t count =
                ::write(this->descriptor, line.data() + written, line.size() - written);
            if (count <= 0) {
                return;
            }
            written += static_cast<std::size_t>(count);
        }
    }

private:
    void open_file() {
        constexpr mode_t owner_writes_group_reads = 0640;
        this->descriptor = ::open(this->path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                                  owner_writes_group_reads);
    }

    void close_file() {
        if (!this->path.empty() && this->is_open()) {
            ::close(this->descriptor);
        }
    }

    void reopen_if_renamed() {
        if (this->path.empty()) {
            return;
        }
        struct stat open_file_status {};
        struct stat path_status {};
        const bool same = ::fstat(this->descriptor, &open_file_status) == 0 &&
                          ::stat(this->path.c_str(), &path_status) == 0 &&
                          open_file_status.st_ino == path_status.st_ino &&
                          open_file_status.st_dev == path_status.st_dev;
        if (same) {
            return;
        }
        this->close_file();
        this->open_file();
    }

    std::string path;
    int descriptor = -1;
    std::time_t last_check = 0;
};

std::string present_time_text() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    return time_text(seconds.count(),
                     std::chrono::duration_cast<microseconds>(now - seconds).count());
}

/// Receives the inner part of each object from glog, which calls it under its lock, adds the time
/// and writes the line.
class json_sink : public google::LogSink {
public:
    json_sink(const std::string& path, log_output output, std::string own_host)
        : file(path), host(std::move(own_host)) {
        if (path.empty() && output == log_output::standard_output) {
            this->writer.emplace(STDOUT_FILENO, line_writer_limits{});
        }
    }

    bool is_open() const { return this->file.is_open(); }

    void write_lines(std::string lines, line_class importance, time_point now) {
        const std::lock_guard guard(this->lock);
        if (!this->writer) {
            this->file.write_line(
                lines, std::chrono::system_clock::to_time_t(std::chrono::system_clock::now()));
            return;
        }
        if (this->writer->has_dropped()) {
            const dropped_lines dropped = this->writer->take_dropped();
            const field counts[] = {{"routine", dropped.routine}, {"failures", dropped.failures}};
            const std::string members =
                format_members({"warning", this->host, "log_lines_dropped", 0, counts});
            const std::string line = whole_line(present_time_text(), members);
            if (!this->writer->write(line, line_class::failure, now)) {
                this->writer->restore_dropped(dropped);
            }
        }
        this->writer->write(std::move(lines), importance, now);
    }

    void flush() {
        const std::lock_guard guard(this->lock);
        if (this->writer) {
            this->writer->flush();
        }
    }

    static std::string whole_line(const std::string& time, std::string_view members) {
        std::string text = "{\"time\":\"" + time + "\",";
        text += members;
        text += "}\n";
        return text;
    }

    using google::LogSink::send;
    void send(google::LogSeverity severity, const char* full_filename, const char* base_filename,
              int line, const google::LogMessageTime& time, const char* message,
              std::size_t length) override {
        static_cast<void>(full_filename);
        static_cast<void>(base_filename);
        static_cast<void>(line);
        this->write_lines(
            whole_line(time_text(time.timestamp(), time.usec()), std::string_view(message, length)),
            severity == google::GLOG_INFO ? line_class::routine : line_class::failure,
            std::chrono::steady_clock::now());
    }

private:
    std::mutex lock;
    line_file file;
    std::optional<line_writer> writer;
    /// For the line that counts dropped ones.
    std::string host;
};

}  // namespace

struct logger::state {
    state(const logger_options& initial, const std::string& path)
        : options(initial),
          limit(initial.lines_per_second),
          sink(path, initial.output, initial.host) {}

    logger_options options;
    rate_limit limit;
    json_sink sink;
};

result<std::shared_ptr<logger>> logger::create(const logger_options& options) {
    std::string path = options.directory;
    if (!path.empty()) {
        path += log_file_name;
    }
    auto initial = std::make_unique<state>(options, path);
    if (!initial->sink.is_open()) {
        return make_error_code(telemetry_errc::log_file_failed);
    }
    return std::shared_ptr<logger>(new logger(std::move(initial)));
}

logger::logger(std::unique_ptr<state> initial) : implementation(std::move(initial)) {}

logger::~logger() = default;

bool logger::enabled(level severity) const {
    return severity >= this->implementation->options.minimum;
}

void logger::write(level severity, std::string_view event, std::initializer_list<field> fields,
                   time_point now) {
    if (!this->enabled(severity)) {
        return;
    }
    const auto dropped = this->implementation->limit.admit(event, now);
    if (!dropped) {
        return;
    }
    const std::string members = format_members(
        {name_of(severity), this->implementation->options.host, event, *dropped, fields});
    google::LogMessage(__FILE__, __LINE__, glog_severity(severity), &this->implementation->sink,
                       false)
            .stream()
        << members;
}

void logger::add(request_trail& trail, level severity, std::string_view event,
                 std::initializer_list<field> fields) {
    if (!this->enabled(severity)) {
        return;
    }
    const bool failure = severity == level::warning || severity == level::error;
    trail.failed = trail.failed || failure;
    if (trail.lines.size() > most_trail_bytes && !failure) {
        return;
    }
    std::vector<field> members{{"request", trail.request}};
    members.insert(members.end(), fields.begin(), fields.end());
    trail.lines += json_sink::whole_line(
        present_time_text(),
        format_members({name_of(severity), this->implementation->options.host, event, 0, members}));
}

void logger::write(const request_trail& trail, time_point now) {
    if (!trail.lines.empty()) {
        this->implementation->sink.write_lines(
            trail.lines, trail.failed ? line_class::failure : line_class::routine, now);
    }
}

void logger::flush() {
    this->implementation->sink.flush();
}

void log_debug(logger& log, std::string_view event, std::initializer_list<field> fields) {
    log.write(level::debug, event, fields, std::chrono::steady_clock::now());
}

void log_info(logger& log, std::string_view event, std::initializer_list<field> fields) {
    log.write(level::info, event, fields, std::chrono::steady_clock::now());
}

void log_warning(logger& log, std::string_view event, std::initializer_list<field> fields) {
    log.write(level::warning, event, fields, std::chrono::steady_clock::now());
}

void log_error(logger& log, std::string_view event, std::initializer_list<field> fields) {
    log.write(level::error, event, fields, std::chrono::steady_clock::now());
}

}  // namespace greengagechute::telemetry
