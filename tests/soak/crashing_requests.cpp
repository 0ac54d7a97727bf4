#include "crashing_requests.h"

namespace greengagechute::soak {

namespace {

/// Number of ended servers after which a request has to be held back.
constexpr int ends_until_judged = 3;
/// `stableWindowS` of the users.
constexpr milliseconds time_to_learn{3'000};
/// The platform's rule: more retries break it.
constexpr int max_late_arrivals = 3;

}  // namespace

bool crashing_requests::crashes(const std::string& target) {
    return target.find("/crash-") != std::string::npos;
}

void crashing_requests::server_ended(const std::string& target, time_point when) {
    record& known = this->requests[target];
    if (++known.ends == ends_until_judged) {
        known.third_end = when;
    }
}

std::optional<std::string> crashing_requests::reached(const std::string& target, bool in_touch,
                                                      time_point when) {
    record& known = this->requests[target];
    ++known.arrivals;
    if (known.ends < ends_until_judged || when - known.third_end <= time_to_learn || !in_touch ||
        ++known.late_arrivals <= max_late_arrivals) {
        return std::nullopt;
    }
    return "request " + target + " reached a server after it had ended " +
           std::to_string(known.ends) + ", " + std::to_string(known.late_arrivals) +
           " times too late";
}

std::string crashing_requests::summary() const {
    std::string text;
    for (const auto& [target, known] : this->requests) {
        text += (text.empty() ? "" : "; ") + target + ": " + std::to_string(known.arrivals) +
                " arrivals, " + std::to_string(known.ends) + " servers ended, " +
                std::to_string(known.late_arrivals) + " late";
    }
    return text;
}

}  // namespace greengagechute::soak
