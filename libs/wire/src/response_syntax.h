#pragma once

#include <cstddef>
#include <string_view>

namespace greengagechute::wire {

/// Checks the head of a response against the grammar of HTTP/1.1 (RFC 9112, sections 2 and 4) where
/// http-parser takes more: the status line and the ends of lines. Header lines themselves are left
/// to http-parser.
///
/// Beyond the grammar, a single LF is taken as the end of a line, and a status line may end with
/// its code: servers send both, and neither can be read in two ways.
class response_syntax {
public:
    /// Reads on, at most to the end of the head.
    /// @return bytes read; fewer than given at that end, and behind a byte that breaks a rule
    std::size_t read(std::string_view bytes);
    /// Says that the body follows, of which only the parser knows where it ends. Valid if
    /// `is_head_read`.
    void begin_body() { this->part = place::body; }

    bool is_valid() const { return this->part != place::invalid; }
    /// The head has been read, and `begin_body` has not been called since.
    bool is_head_read() const { return this->part == place::head_end; }

private:
    enum class place { status_line, header_lines, head_end, body, invalid };

    place after(char c);
    place after_line_end();
    bool fits_status_line(char c) const;

    place part = place::status_line;
    /// Bytes of the current line.
    std::size_t column = 0;
    bool carriage_return_read = false;
};

}  // namespace greengagechute::wire
