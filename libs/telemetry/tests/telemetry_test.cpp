#define BOOST_TEST_MODULE telemetry
#include "line_writer.h"
#include "telemetry/errors.h"
#include "telemetry/logger.h"
#include "telemetry/metric_names.h"
#include "telemetry/metrics.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace gg = greengagechute;
namespace telemetry = greengagechute::telemetry;

namespace {

/// A directory that is removed at the end of the test.
struct temporary_directory {
    temporary_directory()
        : path(std::filesystem::temp_directory_path() /
               ("greengagechute-telemetry-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(this->path);
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    ~temporary_directory() { std::filesystem::remove_all(this->path); }

    std::vector<nlohmann::json> lines() const {
        std::ifstream stream(this->path / "greengagechute.log");
        std::vector<nlohmann::json> parsed;
        for (std::string line; std::getline(stream, line);) {
            parsed.push_back(nlohmann::json::parse(line));
        }
        return parsed;
    }

    telemetry::logger_options options() const {
        telemetry::logger_options values;
        values.directory = this->path.string();
        values.host = "host-1";
        return values;
    }

    std::filesystem::path path;
};

const gg::time_point start{std::chrono::seconds(1'000)};

/// A pipe of which the test is the only reader.
struct unread_pipe {
    unread_pipe() { BOOST_TEST_REQUIRE(::pipe(this->ends) == 0); }
    unread_pipe(const unread_pipe&) = delete;
    unread_pipe& operator=(const unread_pipe&) = delete;
    ~unread_pipe() {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    /// Reads what the pipe holds while `writer` goes on.
    std::string drain(telemetry::line_writer& writer) {
        std::string text;
        while (true) {
            writer.flush();
            pollfd asked{this->ends[0], POLLIN, 0};
            if (::poll(&asked, 1, 0) != 1) {
                return text;
            }
            char buffer[65'536];
            const ssize_t count = ::read(this->ends[0], buffer, sizeof buffer);
            BOOST_TEST_REQUIRE(count > 0);
            text.append(buffer, static_cast<std::size_t>(count));
        }
    }

    int ends[2] = {-1, -1};
};

}  // namespace

// Guards against lines that a JSON reader refuses, and against fields that lose their type.
BOOST_AUTO_TEST_CASE(lines_are_json_with_typed_fields) {
    const temporary_directory directory;
    const auto log = telemetry::logger::create(directory.options());
    BOOST_TEST_REQUIRE(log.has_value());
    const double infinite = std::numeric_limits<double>::infinity();
    log_warning(**log, "server_lost",
                {{"server", "s\"1\n\x01"},
                 {"count", 3},
                 {"large", std::numeric_limits<std::uint64_t>::max()},
                 {"share", 0.5},
                 {"none", infinite},
                 {"took", gg::milliseconds(12)},
                 {"ours", true},
                 {"code", make_error_code(telemetry::telemetry_errc::invalid_metric)},
                 {"bytes", std::string("\xc3\xa9\xff!")},
                 {"long", std::string(5'000, 'x')}});
    const auto lines = directory.lines();
    BOOST_TEST_REQUIRE(lines.size() == 1U);
    const nlohmann::json& line = lines.front();
    BOOST_TEST(line["event"].get<std::string>() == "server_lost");
    BOOST_TEST(line["level"].get<std::string>() == "warning");
    BOOST_TEST(line["host"].get<std::string>() == "host-1");
    BOOST_TEST(line["time"].get<std::string>().size() == 27U);
    BOOST_TEST(line["time"].get<std::string>().ends_with("Z"));
    BOOST_TEST(line["server"].get<std::string>() == "s\"1\n\x01");
    BOOST_TEST(line["count"].get<int>() == 3);
    BOOST_TEST(line["large"].get<std::uint64_t>() == std::numeric_limits<std::uint64_t>::max());
    BOOST_TEST(line["share"].get<double>() == 0.5);
    BOOST_TEST(line["none"].is_null());
    BOOST_TEST(line["took"].get<int>() == 12);
    BOOST_TEST(line["ours"].get<bool>());
    BOOST_TEST(line["code"].get<int>() == 251);
    BOOST_TEST(line["bytes"].get<std::string>() == "\u00e9\ufffd!");
    BOOST_TEST(line["long"].get<std::string>().size() == 1'024U);
}

// Guards against a line that glog cuts in the middle of an object.
BOOST_AUTO_TEST_CASE(long_lines_are_cut_at_a_field) {
    const temporary_directory directory;
    const auto log = telemetry::logger::create(directory.options());
    BOOST_TEST_REQUIRE(log.has_value());
    const std::string text(5'000, '\x01');
    log_info(**log, "large", {{"a", text}, {"b", text}, {"c", text}, {"d", text}, {"e", text}});
    const auto lines = directory.lines();
    BOOST_TEST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines.front()["a"].get<std::string>().size() == 1'024U);
    BOOST_TEST(!lines.front().contains("e"));
    BOOST_TEST(lines.front()["truncated"].get<bool>());
}

// Guards against a repeated event that fills the disk, and against a drop that leaves no trace.
BOOST_AUTO_TEST_CASE(each_event_is_limited_on_its_own) {
    const temporary_directory directory;
    telemetry::logger_options options = directory.options();
    options.lines_per_second = 2;
    const auto log = telemetry::logger::create(options);
    BOOST_TEST_REQUIRE(log.has_value());
    for (int count = 0; count < 5; ++count) {
        (*log)->write(telemetry::level::info, "first", {}, start);
    }
    (*log)->write(telemetry::level::info, "second", {}, start);
    (*log)->write(telemetry::level::info, "first", {}, start + std::chrono::seconds(1));
    const auto lines = directory.lines();
    BOOST_TEST_REQUIRE(lines.size() == 4U);
    BOOST_TEST(lines[2]["event"].get<std::string>() == "second");
    BOOST_TEST(lines[3]["dropped"].get<int>() == 3);
}

// Guards against a process that waits for the reader of its log, against failures that are lost for
// routine lines, and against drops that leave no trace.
BOOST_AUTO_TEST_CASE(unread_output_does_not_block) {
    unread_pipe pipe;
    telemetry::line_writer_limits limits;
    limits.waiting_bytes = 20'000;
    telemetry::line_writer writer(pipe.ends[1], limits);
    const std::string line(999, 'x');
    int routine = 0;
    while (writer.write(line + '\n', telemetry::line_class::routine, start) && routine < 1'000) {
        ++routine;
    }
    BOOST_TEST(routine < 1'000);
    int failures = 0;
    while (writer.write(line + '\n', telemetry::line_class::failure, start) && failures < 1'000) {
        ++failures;
    }
    BOOST_TEST(failures >= 10);
    BOOST_TEST(writer.waiting() <= limits.waiting_bytes);
    const telemetry::dropped_lines dropped = writer.take_dropped();
    BOOST_TEST(dropped.routine == 1U);
    BOOST_TEST(dropped.failures == 1U);
    const std::string text = pipe.drain(writer);
    BOOST_TEST(text.size() == static_cast<std::size_t>(routine + failures) * 1'000);
    BOOST_TEST(writer.waiting() == 0U);
}

// Guards against routine lines that take a host's processor and disk at the crest of the load.
BOOST_AUTO_TEST_CASE(routine_lines_have_a_rate) {
    unread_pipe pipe;
    telemetry::line_writer_limits limits;
    limits.routine_bytes_per_second = 10'000;
    limits.burst = std::chrono::seconds(1);
    telemetry::line_writer writer(pipe.ends[1], limits);
    const std::string line(999, 'x');
    const auto written = [&](telemetry::line_class importance, gg::time_point now) {
        int count = 0;
        for (int number = 0; number < 30; ++number) {
            count += writer.write(line + '\n', importance, now) ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(written(telemetry::line_class::routine, start) == 10);
    BOOST_TEST(written(telemetry::line_class::failure, start) == 30);
    BOOST_TEST(written(telemetry::line_class::routine, start + std::chrono::milliseconds(500)) ==
               5);
}

// Guards against a trail of which a part is missing, and against lines that name no request.
BOOST_AUTO_TEST_CASE(trail_is_written_at_its_end) {
    const temporary_directory directory;
    const auto log = telemetry::logger::create(directory.options());
    BOOST_TEST_REQUIRE(log.has_value());
    telemetry::request_trail trail("r-1");
    for (int count = 0; count < 100; ++count) {
        (*log)->add(trail, telemetry::level::info, "request_sent", {{"attempt", count}});
    }
    BOOST_TEST(directory.lines().empty());
    (*log)->write(trail, start);
    const auto lines = directory.lines();
    BOOST_TEST_REQUIRE(!lines.empty());
    BOOST_TEST(lines.size() < 100U);
    BOOST_TEST(lines[0]["request"].get<std::string>() == "r-1");
    BOOST_TEST(lines[0]["event"].get<std::string>() == "request_sent");
    BOOST_TEST(lines[0]["host"].get<std::string>() == "host-1");
}

// Guards against debug lines in operation.
BOOST_AUTO_TEST_CASE(lines_below_the_level_are_left_out) {
    const temporary_directory directory;
    const auto log = telemetry::logger::create(directory.options());
    BOOST_TEST_REQUIRE(log.has_value());
    log_debug(**log, "detail", {});
    log_info(**log, "started", {});
    log_error(**log, "failed", {});
    BOOST_TEST(directory.lines().size() == 2U);
    BOOST_TEST(!(*log)->enabled(telemetry::level::debug));
}

// Guards against lines that go on to a renamed file, and against a daemon without its log.
BOOST_AUTO_TEST_CASE(renamed_file_is_reopened) {
    const temporary_directory directory;
    const auto log = telemetry::logger::create(directory.options());
    BOOST_TEST_REQUIRE(log.has_value());
    log_info(**log, "before", {});
    std::filesystem::rename(directory.path / "greengagechute.log", directory.path / "old.log");
    std::this_thread::sleep_for(std::chrono::milliseconds(2'100));
    log_info(**log, "after", {});
    const auto lines = directory.lines();
    BOOST_TEST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines.front()["event"].get<std::string>() == "after");
    telemetry::logger_options options;
    options.directory = "/nonexistent";
    BOOST_TEST(telemetry::logger::create(options).error() ==
               telemetry::telemetry_errc::log_file_failed);
}

// Guards against lines of several threads that mix.
BOOST_AUTO_TEST_CASE(threads_write_whole_lines) {
    const temporary_directory directory;
    telemetry::logger_options options = directory.options();
    options.lines_per_second = 0;
    const auto log = telemetry::logger::create(options);
    BOOST_TEST_REQUIRE(log.has_value());
    constexpr int lines_per_thread = 200;
    const auto write = [&log] {
        for (int count = 0; count < lines_per_thread; ++count) {
            log_info(**log, "step", {{"text", std::string(500, 'y')}});
        }
    };
    std::thread first(write);
    std::thread second(write);
    first.join();
    second.join();
    BOOST_TEST(directory.lines().size() == 2U * lines_per_thread);
}

// Guards against series that a Prometheus reader does not find under the documented names.
BOOST_AUTO_TEST_CASE(metrics_are_serialised) {
    namespace names = telemetry::metric_names;
    telemetry::metrics all;
    auto requests = all.add_counter(names::requests_total, "Requests", {{"outcome", "answered"}});
    auto same = all.add_counter(names::requests_total, "Requests", {{"outcome", "answered"}});
    auto length = all.add_gauge(names::queue_length, "Queued requests", {{"server", "s1"}});
    auto wait =
        all.add_latency(names::queue_wait, "Wait", {{"work", std::string(names::short_work)}});
    BOOST_TEST_REQUIRE((requests && same && length && wait));
    requests->add();
    same->add(2);
    length->set(5);
    length->add(-1);
    wait->observe(gg::microseconds(1'500));
    BOOST_TEST(requests->value() == 3);
    BOOST_TEST(length->value() == 4);
    const std::string text = all.serialise();
    const auto contains = [&text](const std::string& part) {
        return text.find(part) != std::string::npos;
    };
    BOOST_TEST(contains("greengagechute_requests_total{outcome=\"answered\"} 3"));
    BOOST_TEST(contains("greengagechute_queue_length{server=\"s1\"} 4"));
    BOOST_TEST(contains("greengagechute_queue_wait_seconds_bucket{work=\"short\",le=\"0.001\"} 0"));
    BOOST_TEST(contains("greengagechute_queue_wait_seconds_bucket{work=\"short\",le=\"0.002\"} 1"));
    BOOST_TEST(contains("greengagechute_queue_wait_seconds_count{work=\"short\"} 1"));
}

// Guards against an exception or unbounded memory from names that come from outside.
BOOST_AUTO_TEST_CASE(invalid_metrics_are_refused) {
    telemetry::metrics all;
    const auto invalid = telemetry::telemetry_errc::invalid_metric;
    BOOST_TEST(all.add_counter("1name", "").error() == invalid);
    BOOST_TEST(all.add_counter("name", "", {{"bad-label", "x"}}).error() == invalid);
    BOOST_TEST(all.add_counter("name", "", {{"a", "x"}, {"a", "y"}}).error() == invalid);
    BOOST_TEST(all.add_counter("name", "").has_value());
    BOOST_TEST(all.add_gauge("name", "").error() == invalid);
    BOOST_TEST(all.add_gauge("name", "", {{"a", "x"}}).error() == invalid);
    for (int index = 0; index < 4'095; ++index) {
        BOOST_TEST_REQUIRE(all.add_gauge("many", "", {{"n", std::to_string(index)}}).has_value());
    }
    BOOST_TEST(all.add_gauge("many", "", {{"n", "more"}}).error() == invalid);
    telemetry::counter unused;
    unused.add();
    BOOST_TEST(unused.value() == 0);
}

// Guards against codes that are used twice or lie in another library's range.
BOOST_AUTO_TEST_CASE(error_table_is_consistent) {
    std::set<int> numbers;
    for (const gg::error_entry& entry : telemetry::error_table()) {
        BOOST_TEST(numbers.insert(entry.number).second);
        BOOST_TEST((entry.number >= 250 && entry.number < 300));
    }
}
