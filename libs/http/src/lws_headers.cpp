#include "lws_headers.h"

#include "wire/message.h"

#include <libwebsockets.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace greengagechute::http {

namespace {

bool is_pseudo_header(int token) {
    switch (token) {
        case WSI_TOKEN_GET_URI:
        case WSI_TOKEN_POST_URI:
        case WSI_TOKEN_OPTIONS_URI:
        case WSI_TOKEN_PATCH_URI:
        case WSI_TOKEN_PUT_URI:
        case WSI_TOKEN_DELETE_URI:
        case WSI_TOKEN_HEAD_URI:
        case WSI_TOKEN_CONNECT:
        case WSI_TOKEN_HTTP:
        case WSI_TOKEN_HTTP1_0:
        case WSI_TOKEN_HTTP_URI_ARGS:
        case WSI_TOKEN_PROXY:
            return true;
        default:
            return false;
    }
}

/// The header names that libwebsockets knows, by token; empty for tokens that are not headers.
const std::vector<std::string>& common_names() {
    static const std::vector<std::string> names = [] {
        std::vector<std::string> result(_WSI_TOKEN_CLIENT_SENT_PROTOCOLS);
        for (int token = 0; token < _WSI_TOKEN_CLIENT_SENT_PROTOCOLS; ++token) {
            const auto* text = reinterpret_cast<const char*>(
                lws_token_to_string(static_cast<lws_token_indexes>(token)));
            if (text == nullptr || is_pseudo_header(token)) {
                continue;
            }
            std::string_view name(text);
            if (name.size() < 2 || name.front() == ':' || name.back() != ':') {
                continue;
            }
            name.remove_suffix(1);
            result[static_cast<std::size_t>(token)] = name;
        }
        return result;
    }();
    return names;
}

std::string copy_header(lws* connection, int token, int length) {
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied =
        lws_hdr_copy(connection, value.data(), length + 1, static_cast<lws_token_indexes>(token));
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

void read_custom(lws* connection, const std::string& name, header_list& headers) {
    const std::string with_colon = name + ":";
    const int name_length = static_cast<int>(with_colon.size());
    const int length = lws_hdr_custom_length(connection, with_colon.c_str(), name_length);
    if (length < 0) {
        return;
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied =
        lws_hdr_custom_copy(connection, value.data(), length + 1, with_colon.c_str(), name_length);
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    headers.push_back({name, std::string(wire::trimmed(value))});
}

bool is_unreserved(unsigned char letter) {
    constexpr std::string_view allowed = "-._~!$&'()*+,;=:@/?";
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') ||
           allowed.find(static_cast<char>(letter)) != std::string_view::npos;
}

}  // namespace

bool is_common_header(std::string_view name) {
    static const std::set<std::string_view> names(common_names().begin(), common_names().end());
    return !name.empty() && names.contains(name);
}

header_list read_headers(lws* connection, const std::vector<std::string>& custom) {
    header_list headers;
    headers.reserve(16);
    const std::vector<std::string>& names = common_names();
    for (std::size_t token = 0; token < names.size(); ++token) {
        if (names[token].empty()) {
            continue;
        }
        const int length = lws_hdr_total_length(connection, static_cast<lws_token_indexes>(token));
        if (length > 0) {
            headers.push_back(
                {names[token], copy_header(connection, static_cast<int>(token), length)});
        }
    }
    for (const std::string& name : custom) {
        read_custom(connection, name, headers);
    }
    return headers;
}

char lower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string read_query(lws* connection) {
    std::string query;
    for (int fragment = 0;; ++fragment) {
        const int length = lws_hdr_fragment_length(connection, WSI_TOKEN_HTTP_URI_ARGS, fragment);
        if (length <= 0) {
            return query;
        }
        std::string argument(static_cast<std::size_t>(length) + 1, '\0');
        const int copied = lws_hdr_copy_fragment(connection, argument.data(), length + 1,
                                                 WSI_TOKEN_HTTP_URI_ARGS, fragment);
        argument.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
        if (fragment > 0) {
            query += '&';
        }
        query += percent_encode(argument, "&+");
    }
}

std::string percent_encode(std::string_view text, std::string_view extra) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (is_unreserved(byte) && extra.find(letter) == std::string_view::npos) {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xFU];
    }
    return encoded;
}

bool valid_header_name(std::string_view name) {
    constexpr std::string_view allowed = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || allowed.find(letter) != std::string_view::npos;
    });
}

bool valid_header_value(std::string_view value) {
    return std::all_of(value.begin(), value.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
    });
}

bool parse_size(std::string_view text, std::size_t& value) {
    const char* end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value);
    return !text.empty() && error == std::errc{} && position == end;
}

}  // namespace greengagechute::http
