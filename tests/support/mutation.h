#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <random>
#include <string>
#include <string_view>

namespace greengagechute::testing {

/// Changes some bytes of a text.
inline std::string mutated(std::string text, std::mt19937_64& random) {
    static const std::string_view pieces[] = {"1e999",
                                              "1e300",
                                              "-1",
                                              "18446744073709551615",
                                              "18446744073709551616",
                                              "1.5",
                                              "[[[[",
                                              "]",
                                              "{",
                                              "}",
                                              "\\u0",
                                              "\\ud800",
                                              "\xff",
                                              "\"",
                                              ":",
                                              ",",
                                              "null",
                                              "0",
                                              "\xc3",
                                              "\"slots\":",
                                              "{\"a\":",
                                              "e9"};
    const std::uint64_t count = 1 + random() % 3;
    for (std::uint64_t change = 0; change < count; ++change) {
        const std::size_t at = random() % (text.size() + 1);
        const std::string_view piece = pieces[random() % std::size(pieces)];
        switch (random() % 4) {
            case 0:
                text.insert(at, piece);
                break;
            case 1:
                text.erase(at, random() % 8);
                break;
            case 2:
                if (at < text.size()) {
                    text[at] = static_cast<char>(random());
                }
                break;
            default:
                text.replace(at, random() % 16, piece);
        }
    }
    return text;
}

}  // namespace greengagechute::testing
