#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengagechute::telemetry {

/// Names and values of the labels of one time series.
using label_list = std::vector<std::pair<std::string, std::string>>;

/// A value that only grows. Copies refer to the same series; valid as long as its `metrics`.
/// A default-constructed handle ignores all calls. The same holds for `gauge` and
/// `latency_histogram`.
class counter {
public:
    counter() = default;
    void add(double amount = 1);
    double value() const;

private:
    friend class metrics;
    explicit counter(void* series_of_handle) : series(series_of_handle) {}
    void* series = nullptr;
};

/// A value that goes up and down.
class gauge {
public:
    gauge() = default;
    void set(double value);
    void add(double amount);
    double value() const;

private:
    friend class metrics;
    explicit gauge(void* series_of_handle) : series(series_of_handle) {}
    void* series = nullptr;
};

/// A distribution of durations, in seconds as Prometheus expects, with buckets from 50 us to 60 s.
class latency_histogram {
public:
    latency_histogram() = default;
    void observe(microseconds duration);

private:
    friend class metrics;
    explicit latency_histogram(void* series_of_handle) : series(series_of_handle) {}
    void* series = nullptr;
};

/// The metrics of one daemon. Thread-safe.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// Return the series with this name and these labels, which is created at the first call.
    /// Errors: `telemetry_errc::invalid_metric` for an invalid name or label, for a name that is in
    /// use with another type, and for more than 4,096 series.
    result<counter> add_counter(std::string_view name, std::string_view help,
                                const label_list& labels = {});
    result<gauge> add_gauge(std::string_view name, std::string_view help,
                            const label_list& labels = {});
    result<latency_histogram> add_latency(std::string_view name, std::string_view help,
                                          const label_list& labels = {});

    /// All series in the Prometheus text format, for `GET /metrics`.
    std::string serialise() const;

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::telemetry
