#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace greengagechute::wire {

/// Whether a byte fits one of a pattern, in which 0 stands for any digit.
bool fits_digit_pattern(char c, char wanted);

/// Checks a response against the grammar of HTTP/1.1 (RFC 9112, sections 2, 4 and 7.1) where
/// http-parser takes more: the status line, the ends of lines, and the sizes and ends of chunks.
/// Header lines themselves are left to http-parser.
///
/// Beyond the grammar, a single LF is taken as the end of a line of the head or the trailers, a
/// status line may end with its code, and blanks may follow the size of a chunk: servers send all
/// three, and none can be read in two ways.
class response_syntax {
public:
    /// Reads on, at most to the end of the head or of the trailers behind the last chunk.
    /// @return bytes read; fewer than given at such an end, and behind a byte that breaks a rule
    std::size_t read(std::string_view bytes);
    /// Says how the body that follows is framed. Valid if `is_head_read`.
    void begin_body(bool chunked);

    bool is_valid() const { return this->current != element::invalid; }
    /// The head has been read, and `begin_body` has not been called since.
    bool is_head_read() const { return this->current == element::head_end; }

private:
    enum class element {
        status_line,
        header_lines,
        head_end,
        /// Only the parser knows where it ends.
        unchunked_body,
        chunk_size,
        /// Blanks behind the digits of the size.
        chunk_padding,
        chunk_extension,
        chunk_data,
        chunk_data_end,
        trailer_lines,
        chunks_end,
        invalid,
    };

    element after_byte(char c);
    element after_text(char c);
    element after_line_end();
    element after_chunk_size(char c);
    bool fits_status_line(char c) const;
    bool allows_single_line_feed() const;

    element current = element::status_line;
    /// Bytes of the current line.
    std::size_t column = 0;
    bool carriage_return_read = false;
    /// Bytes of the current chunk that have not been read.
    std::uint64_t chunk_left = 0;
};

}  // namespace greengagechute::wire
