#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::fuzz {

/// A parser of bytes from outside, and what must hold for any bytes.
struct target {
    std::string name;
    /// Valid inputs, which the fuzzer changes.
    std::vector<std::string> samples;
    /// Feeds the bytes to the parser. Returns the property that does not hold; empty if all hold.
    std::function<std::string(std::string_view bytes)> check;
};

const std::vector<target>& targets();

}  // namespace greengagechute::fuzz
