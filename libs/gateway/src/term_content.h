#pragma once

#include "wire/stream.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagechute::gateway {

/// Content of the term row.
struct term_content {
    std::uint64_t number = 0;
    /// Identity of the coordinator's process; empty if the last coordinator has resigned.
    std::string host;
    std::optional<wire::endpoint> address;
    /// Era of the store in which the term was written. Empty in rows of earlier releases, like
    /// `owners_era`.
    std::optional<std::uint64_t> era;
    /// Era of the store in which the stored owners are known to be complete. In a later one they
    /// may be older than the leases in force.
    std::optional<std::uint64_t> owners_era;
};

std::string encode(const term_content& term);
/// Empty if the text is malformed.
std::optional<term_content> decode_term(std::string_view text);

}  // namespace greengagechute::gateway
