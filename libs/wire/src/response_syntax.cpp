#include "response_syntax.h"

namespace greengagechute::wire {

namespace {

/// The status line up to its code.
constexpr std::string_view status_line_pattern = "HTTP/1.0 000";

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

/// Whether a byte may stand in a reason phrase or behind the size of a chunk.
bool is_text(char c) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7F;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= first_printable && byte != del);
}

/// Value of a hexadecimal digit; -1 for other bytes.
int hex_value(char c) {
    constexpr int ten = 10;
    if (is_digit(c)) {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + ten;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + ten : -1;
}

}  // namespace

bool fits_digit_pattern(char c, char wanted) {
    return wanted == '0' ? is_digit(c) : c == wanted;
}

std::size_t response_syntax::read(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size()) {
        switch (this->current) {
            case element::unchunked_body:
                return bytes.size();
            case element::head_end:
            case element::chunks_end:
            case element::invalid:
                return used;
            case element::chunk_data: {
                const std::size_t rest = bytes.size() - used;
                const std::size_t size =
                    this->chunk_left < rest ? static_cast<std::size_t>(this->chunk_left) : rest;
                this->chunk_left -= size;
                used += size;
                if (this->chunk_left == 0) {
                    this->current = element::chunk_data_end;
                }
                break;
            }
            default:
                this->current = this->after_byte(bytes[used]);
                ++used;
        }
    }
    return used;
}

void response_syntax::begin_body(bool chunked) {
    this->current = chunked ? element::chunk_size : element::unchunked_body;
}

/// The element behind a byte of a line.
response_syntax::element response_syntax::after_byte(char c) {
    if (this->carriage_return_read) {
        this->carriage_return_read = false;
        return c == '\n' ? this->after_line_end() : element::invalid;
    }
    if (c == '\r') {
        this->carriage_return_read = true;
        return this->current;
    }
    if (c == '\n') {
        return this->allows_single_line_feed() ? this->after_line_end() : element::invalid;
    }
    const element next = this->after_text(c);
    ++this->column;
    return next;
}

/// The element behind a byte that is no part of a line's end.
response_syntax::element response_syntax::after_text(char c) {
    switch (this->current) {
        case element::status_line:
            return this->fits_status_line(c) ? this->current : element::invalid;
        case element::chunk_size:
        case element::chunk_padding:
            return this->after_chunk_size(c);
        case element::chunk_extension:
            return is_text(c) ? this->current : element::invalid;
        case element::header_lines:
        case element::trailer_lines:
            return this->current;
        default:
            return element::invalid;
    }
}

response_syntax::element response_syntax::after_line_end() {
    const std::size_t size = this->column;
    this->column = 0;
    switch (this->current) {
        case element::status_line:
            return size >= status_line_pattern.size() ? element::header_lines : element::invalid;
        case element::header_lines:
            return size == 0 ? element::head_end : this->current;
        case element::chunk_size:
        case element::chunk_padding:
        case element::chunk_extension:
            if (size == 0) {
                return element::invalid;
            }
            return this->chunk_left == 0 ? element::trailer_lines : element::chunk_data;
        case element::chunk_data_end:
            return element::chunk_size;
        case element::trailer_lines:
            return size == 0 ? element::chunks_end : this->current;
        default:
            return element::invalid;
    }
}

response_syntax::element response_syntax::after_chunk_size(char c) {
    constexpr unsigned bits_of_digit = 4;
    constexpr unsigned bits_of_size = 64;
    const int digit = hex_value(c);
    if (digit >= 0) {
        const bool fits = this->chunk_left >> (bits_of_size - bits_of_digit) == 0;
        this->chunk_left = (this->chunk_left << bits_of_digit) | static_cast<std::uint64_t>(digit);
        return this->current == element::chunk_size && fits ? this->current : element::invalid;
    }
    if (this->column == 0) {
        return element::invalid;
    }
    if (c == ';') {
        return element::chunk_extension;
    }
    return c == ' ' || c == '\t' ? element::chunk_padding : element::invalid;
}

bool response_syntax::fits_status_line(char c) const {
    if (this->column < status_line_pattern.size()) {
        return fits_digit_pattern(c, status_line_pattern[this->column]);
    }
    return this->column == status_line_pattern.size() ? c == ' ' : is_text(c);
}

bool response_syntax::allows_single_line_feed() const {
    return this->current == element::status_line || this->current == element::header_lines ||
           this->current == element::trailer_lines;
}

}  // namespace greengagechute::wire
