#include "ini_text.h"

#include <ini.h>

#include <algorithm>

namespace greengagechute::settings {

namespace {

constexpr std::string_view white_space = " \t\r";

/// State of one parse. inih calls back without line numbers and reports only the first faulty line,
/// so the line is known from the number of lines that inih has asked for, and each line that should
/// have produced an entry is checked when inih asks for the next one.
struct parse_state {
    std::string_view rest;
    std::string_view file;
    std::size_t line = 0;
    std::string_view current;
    bool entry_expected = false;
    ini_text content;
};

void add_error(parse_state& state, settings_errc code, std::string text) {
    state.content.errors.push_back(
        {make_error_code(code), std::string(state.file), state.line, std::move(text)});
}

std::string_view trim(std::string_view text) {
    const std::size_t first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

bool is_indented(std::string_view line) {
    return line.starts_with(' ') || line.starts_with('\t');
}

bool is_control(char character) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char rubout = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return (code < first_printable && character != '\t' && character != '\r') || code == rubout;
}

void check_previous_line(parse_state& state) {
    if (state.entry_expected) {
        add_error(state, settings_errc::syntax_error, "the line is not of the form key = value");
    }
    state.entry_expected = false;
}

std::string_view take_line(parse_state& state) {
    const std::size_t end = state.rest.find('\n');
    const std::string_view line = state.rest.substr(0, end);
    state.rest.remove_prefix(end == std::string_view::npos ? state.rest.size() : end + 1);
    return line;
}

void note_section(parse_state& state, std::string_view line) {
    const std::size_t end = line.find(']');
    if (end == std::string_view::npos) {
        add_error(state, settings_errc::syntax_error, "the section name has no closing bracket");
        return;
    }
    const std::string_view after = trim(line.substr(end + 1));
    if (!after.empty() && after.front() != ';') {
        add_error(state, settings_errc::syntax_error, "text follows the section name");
    }
    state.content.sections.push_back({std::string(line.substr(1, end - 1)), state.line});
}

void classify_line(parse_state& state) {
    const std::string_view line = trim(state.current);
    const bool is_comment = line.starts_with(';') || line.starts_with('#');
    if (line.empty() || is_comment) {
        return;
    }
    if (line.front() == '[' && !is_indented(state.current)) {
        note_section(state, line);
        return;
    }
    state.entry_expected = true;
}

/// Returns whether inih may see the line.
bool is_acceptable(parse_state& state, std::size_t capacity) {
    constexpr std::size_t end_of_line_and_terminator = 2;
    if (state.current.size() + end_of_line_and_terminator > capacity) {
        add_error(state, settings_errc::line_too_long, "the line is too long");
        return false;
    }
    if (std::any_of(state.current.begin(), state.current.end(), is_control)) {
        add_error(state, settings_errc::syntax_error, "the line contains a control character");
        return false;
    }
    return true;
}

char* read_line(char* buffer, int capacity, void* user) {
    parse_state& state = *static_cast<parse_state*>(user);
    check_previous_line(state);
    if (state.rest.empty()) {
        return nullptr;
    }
    ++state.line;
    state.current = take_line(state);
    if (!is_acceptable(state, static_cast<std::size_t>(capacity))) {
        state.current = {};
    }
    classify_line(state);
    char* end = std::copy(state.current.begin(), state.current.end(), buffer);
    *end = '\n';
    *(end + 1) = '\0';
    return buffer;
}

bool continues(const parse_state& state, std::string_view section, std::string_view key) {
    if (state.content.entries.empty() || !is_indented(state.current)) {
        return false;
    }
    const ini_entry& last = state.content.entries.back();
    return last.section == section && last.key == key;
}

int handle_entry(void* user, const char* section, const char* key, const char* value) {
    constexpr int accepted = 1;
    parse_state& state = *static_cast<parse_state*>(user);
    state.entry_expected = false;
    if (continues(state, section, key)) {
        ini_entry& last = state.content.entries.back();
        last.continued = true;
        last.value += ' ';
        last.value += value;
        return accepted;
    }
    state.content.entries.push_back({section, key, value, state.line, false});
    return accepted;
}

}  // namespace

ini_text parse_ini(std::string_view text, std::string_view file_name) {
    constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    parse_state state;
    state.rest = text;
    state.file = file_name;
    // Faults are collected by the callbacks, all of them with their line.
    static_cast<void>(ini_parse_stream(read_line, &state, handle_entry, &state));
    return std::move(state.content);
}

}  // namespace greengagechute::settings
