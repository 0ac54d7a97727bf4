#include "router/signature.h"

#include "router/errors.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <cstdint>

namespace greengagechute::router {

std::string sign_order(std::string_view key, std::string_view method, std::string_view path,
                       std::string_view time, std::string_view body) {
    std::string text;
    for (const std::string_view part : {method, path, time, body}) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), code.data(), &length);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hexadecimal;
    for (unsigned int index = 0; index < length; ++index) {
        hexadecimal += digits[code[index] >> 4U];
        hexadecimal += digits[code[index] & 0xfU];
    }
    return hexadecimal;
}

http::request sign_request(http::request order, std::string_view key, wall_time now) {
    const std::string time = std::to_string(now.time_since_epoch().count());
    const std::string signature = sign_order(key, order.method, order.path, time, order.body);
    order.headers.push_back({"x-time", time});
    order.headers.push_back({"x-signature", signature});
    return order;
}

status check_order(std::string_view key, std::string_view method, std::string_view path,
                   std::string_view time, std::string_view body, std::string_view signature,
                   wall_time now) {
    const std::string expected = sign_order(key, method, path, time, body);
    if (key.empty() || signature.size() != expected.size() ||
        CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) != 0) {
        return make_error_code(router_errc::unauthorized);
    }
    std::int64_t sent = 0;
    const auto [end, code] = std::from_chars(time.data(), time.data() + time.size(), sent);
    if (code != std::errc() || end != time.data() + time.size()) {
        return make_error_code(router_errc::unauthorized);
    }
    const std::int64_t difference = now.time_since_epoch().count() - sent;
    if (difference > order_time_tolerance.count() || -difference > order_time_tolerance.count()) {
        return make_error_code(router_errc::unauthorized);
    }
    return {};
}

}  // namespace greengagechute::router
