#pragma once

#include <string_view>

namespace greengagechute {

/// What is known about the execution of a request.
enum class outcome {
    /// The whole answer of the upstream was delivered.
    answered,
    /// It is proved that the request did not run.
    not_run,
    /// The request may or may not have run.
    unknown,
};

/// The value of the `X-Outcome` header: `answered`, `not-run` or `unknown`.
constexpr std::string_view to_string(outcome value) {
    switch (value) {
        case outcome::answered:
            return "answered";
        case outcome::not_run:
            return "not-run";
        case outcome::unknown:
            break;
    }
    return "unknown";
}

}  // namespace greengagechute
