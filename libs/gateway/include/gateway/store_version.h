#pragma once

#include <compare>
#include <cstdint>

namespace greengagechute::gateway {

/// Position in the sequence of changes of the store. After the store has come back from an older
/// copy of its content, it gives out the numbers of the changes that were lost once more, in a
/// higher era; versions of different eras therefore never denote the same change.
struct store_version {
    /// Raised each time the store comes back from a copy; 0 if the store states none.
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const store_version&, const store_version&) = default;
    friend bool operator==(const store_version&, const store_version&) = default;
};

}  // namespace greengagechute::gateway
