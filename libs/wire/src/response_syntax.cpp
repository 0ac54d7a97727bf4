#include "response_syntax.h"

namespace greengagechute::wire {

namespace {

/// The status line up to its code; 0 stands for any digit.
constexpr std::string_view status_line_pattern = "HTTP/1.0 000";

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

/// Whether a byte may stand in a reason phrase.
bool is_text(char c) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7F;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= first_printable && byte != del);
}

}  // namespace

std::size_t response_syntax::read(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size()) {
        switch (this->part) {
            case place::body:
                return bytes.size();
            case place::head_end:
            case place::invalid:
                return used;
            case place::status_line:
            case place::header_lines:
                this->part = this->after(bytes[used]);
                ++used;
        }
    }
    return used;
}

/// The place behind a byte of a line.
response_syntax::place response_syntax::after(char c) {
    if (this->carriage_return_read) {
        this->carriage_return_read = false;
        return c == '\n' ? this->after_line_end() : place::invalid;
    }
    if (c == '\r') {
        this->carriage_return_read = true;
        return this->part;
    }
    if (c == '\n') {
        return this->after_line_end();
    }
    const bool fits = this->part != place::status_line || this->fits_status_line(c);
    ++this->column;
    return fits ? this->part : place::invalid;
}

response_syntax::place response_syntax::after_line_end() {
    const std::size_t size = this->column;
    this->column = 0;
    if (this->part == place::status_line) {
        return size >= status_line_pattern.size() ? place::header_lines : place::invalid;
    }
    return size == 0 ? place::head_end : place::header_lines;
}

bool response_syntax::fits_status_line(char c) const {
    if (this->column < status_line_pattern.size()) {
        const char wanted = status_line_pattern[this->column];
        return wanted == '0' ? is_digit(c) : c == wanted;
    }
    return this->column == status_line_pattern.size() ? c == ' ' : is_text(c);
}

}  // namespace greengagechute::wire
