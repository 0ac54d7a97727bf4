#include "gateway/request_fingerprint.h"

#include "base/hash.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace greengagechute::gateway {

request_fingerprint fingerprint_of(const wire::request& message, const std::string& key_header) {
    const std::string* const host = wire::find_header(message.headers, "Host");
    const std::string* const key = wire::find_header(message.headers, key_header);
    const std::string empty;
    // Each hash seeds the next, so that the boundaries between the parts matter.
    std::uint64_t hash = 0;
    for (const std::string* const part :
         {host != nullptr ? host : &empty, &message.method, &message.target,
          key != nullptr ? key : &empty, &message.body}) {
        hash = hash64(*part, hash);
    }
    return request_fingerprint(hash);
}

std::string to_text(request_fingerprint value) {
    static constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 16;
    std::string text(length, '0');
    std::uint64_t rest = value.value();
    for (std::size_t index = length; index > 0; --index) {
        text[index - 1] = digits[rest & 0xFU];
        rest >>= 4U;
    }
    return text;
}

}  // namespace greengagechute::gateway
