#include "telemetry/metrics.h"

#include "telemetry/errors.h"

#include <prometheus/check_names.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstddef>
#include <exception>
#include <map>
#include <mutex>
#include <utility>

namespace greengagechute::telemetry {

namespace {

/// Bounds memory when label values come from outside, for example caller names.
constexpr std::size_t most_series = 4'096;

/// Upper bounds in seconds: fine around the latency goals (1 ms added, 9 ms in total) and up to the
/// longest deadline.
const prometheus::Histogram::BucketBoundaries latency_bounds{
    0.00005, 0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.007, 0.009, 0.012,
    0.02,    0.05,   0.1,     0.25,   0.5,   1,     2,     5,     10,    30,    60};

bool are_valid(std::string_view name, const prometheus::Labels& labels) {
    if (!prometheus::CheckMetricName(std::string(name))) {
        return false;
    }
    for (const auto& [label, value] : labels) {
        if (!prometheus::CheckLabelName(label)) {
            return false;
        }
    }
    return true;
}

enum class series_type { counter, gauge, latency };

}  // namespace

struct metrics::state {
    prometheus::Registry registry;
    std::mutex mutex;
    std::map<std::pair<std::string, prometheus::Labels>, std::pair<series_type, void*>> series;

    /// Finds the series, or makes it with `make(name, labels)`.
    template <typename function>
    result<void*> add(series_type type, std::string_view name, const label_list& list,
                      function make) {
        const prometheus::Labels labels(list.begin(), list.end());
        if (!are_valid(name, labels) || labels.size() != list.size()) {
            return make_error_code(telemetry_errc::invalid_metric);
        }
        const std::lock_guard lock(this->mutex);
        const std::pair key{std::string(name), labels};
        const auto found = this->series.find(key);
        if (found != this->series.end()) {
            if (found->second.first != type) {
                return make_error_code(telemetry_errc::invalid_metric);
            }
            return found->second.second;
        }
        if (this->series.size() >= most_series) {
            return make_error_code(telemetry_errc::invalid_metric);
        }
        try {
            void* created = make(key.first, labels);
            this->series.emplace(key, std::pair{type, created});
            return created;
        } catch (const std::exception&) {
            // prometheus-cpp throws if the name is in use with another type.
            return make_error_code(telemetry_errc::invalid_metric);
        }
    }
};

metrics::metrics() : implementation(std::make_unique<state>()) {}

metrics::~metrics() = default;

result<counter> metrics::add_counter(std::string_view name, std::string_view help,
                                     const label_list& labels) {
    const auto make = [&](const std::string& full_name, const prometheus::Labels& own) -> void* {
        return &prometheus::BuildCounter()
                    .Name(full_name)
                    .Help(std::string(help))
                    .Register(this->implementation->registry)
                    .Add(own);
    };
    const auto added = this->implementation->add(series_type::counter, name, labels, make);
    if (!added) {
        return added.error();
    }
    return counter(*added);
}

result<gauge> metrics::add_gauge(std::string_view name, std::string_view help,
                                 const label_list& labels) {
    const auto make = [&](const std::string& full_name, const prometheus::Labels& own) -> void* {
        return &prometheus::BuildGauge()
                    .Name(full_name)
                    .Help(std::string(help))
                    .Register(this->implementation->registry)
                    .Add(own);
    };
    const auto added = this->implementation->add(series_type::gauge, name, labels, make);
    if (!added) {
        return added.error();
    }
    return gauge(*added);
}

result<latency_histogram> metrics::add_latency(std::string_view name, std::string_view help,
                                               const label_list& labels) {
    const auto make = [&](const std::string& full_name, const prometheus::Labels& own) -> void* {
        return &prometheus::BuildHistogram()
                    .Name(full_name)
                    .Help(std::string(help))
                    .Register(this->implementation->registry)
                    .Add(own, latency_bounds);
    };
    const auto added = this->implementation->add(series_type::latency, name, labels, make);
    if (!added) {
        return added.error();
    }
    return latency_histogram(*added);
}

std::string metrics::serialise() const {
    return prometheus::TextSerializer().Serialize(this->implementation->registry.Collect());
}

void counter::add(double amount) {
    if (this->series != nullptr) {
        static_cast<prometheus::Counter*>(this->series)->Increment(amount);
    }
}

double counter::value() const {
    return this->series == nullptr ? 0
                                   : static_cast<const prometheus::Counter*>(this->series)->Value();
}

void gauge::set(double value) {
    if (this->series != nullptr) {
        static_cast<prometheus::Gauge*>(this->series)->Set(value);
    }
}

void gauge::add(double amount) {
    if (this->series != nullptr) {
        static_cast<prometheus::Gauge*>(this->series)->Increment(amount);
    }
}

double gauge::value() const {
    return this->series == nullptr ? 0
                                   : static_cast<const prometheus::Gauge*>(this->series)->Value();
}

void latency_histogram::observe(microseconds duration) {
    if (this->series != nullptr) {
        const double seconds = std::chrono::duration<double>(duration).count();
        static_cast<prometheus::Histogram*>(this->series)->Observe(seconds);
    }
}

}  // namespace greengagechute::telemetry
