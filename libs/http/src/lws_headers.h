#pragma once

#include "http/types.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

struct lws;

namespace greengagechute::http {

/// Smallest of the pieces in which bodies are read and written, and room for the largest header
/// block. libwebsockets parses each header block into a buffer of this size.
inline constexpr std::size_t buffer_bytes = 64UL * 1024;
/// Largest header block that the parser stores. The field is 16 bits wide in libwebsockets.
inline constexpr std::size_t header_storage_bytes = 65'500;

/// Whether `read_headers` reads headers of this name, in lower case, without being asked for them.
bool is_common_header(std::string_view name);

/// Reads the headers that the connection has parsed: the common ones, then those in `custom`.
header_list read_headers(lws* connection, const std::vector<std::string>& custom);

/// Size of a list of headers, of this library or of `wire`, as text.
template <typename list>
std::size_t header_size(const list& headers) {
    constexpr std::size_t separators = 4;
    std::size_t size = 0;
    for (const auto& field : headers) {
        size += field.name.size() + field.value.size() + separators;
    }
    return size;
}

/// The letter in lower case, if it is one of ASCII.
char lower(char letter);

/// The URI arguments, joined by `&` and percent-encoded.
std::string read_query(lws* connection);

/// Percent-encodes every byte that may not appear in a path or query.
/// @param extra  characters to encode although they are allowed
std::string percent_encode(std::string_view text, std::string_view extra);

/// Whether the text can be sent as a header name.
bool valid_header_name(std::string_view name);
/// Whether the text can be sent as a header value, path or query: it has no control characters.
bool valid_header_value(std::string_view value);

/// Parses a decimal number made of digits only. Returns false for any other text.
bool parse_size(std::string_view text, std::size_t& value);

}  // namespace greengagechute::http
