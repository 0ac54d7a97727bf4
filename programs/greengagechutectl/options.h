#pragma once

#include "base/time.h"
#include "http/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace greengagechute::ctl {

enum class command_name { validate, submit, status, dump, drain, sample_note, explain };

/// Servers of one service for `sample-note`: ids `<prefix>-1`, `<prefix>-2`, and so on, on
/// consecutive ports of 127.0.0.1.
struct sample_service {
    std::string service;
    std::string prefix;
    bool divided = true;
    std::uint16_t servers = 0;
    std::uint16_t first_port = 0;
};

struct command_line {
    command_name command = command_name::status;
    std::vector<http::endpoint> hosts;
    std::string key_file;
    std::string note_file;
    bool json = false;
    milliseconds timeout{0};
    std::vector<sample_service> services;
    std::uint64_t base_revision = 0;
    std::uint32_t partitions = 0;
    std::uint32_t slots = 0;
    /// Of `explain`.
    std::string request_id;
    std::vector<std::string> log_files;
};

/// Reads the arguments, or prints help or an error and returns the exit code.
std::variant<command_line, int> parse_command_line(int argc, const char** argv);

}  // namespace greengagechute::ctl
