#include "options.h"

#include "exit_codes.h"
#include "release/note.h"

#include <arpa/inet.h>
#include <popt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string_view>

namespace greengagechute::ctl {

namespace {

constexpr int largest_timeout_s = 3'600;
/// A host answers a submission after at most 25 s.
constexpr int default_submit_timeout_s = 30;
constexpr int default_timeout_s = 5;
constexpr std::size_t most_hosts = 64;
constexpr std::uint16_t most_sample_servers = 1'000;

enum option_value { host_value = 1, divided_value, undivided_value };

struct command_entry {
    std::string_view name;
    command_name command;
    const char* arguments;
    bool needs_note;
    bool needs_host;
    bool needs_key;
};

constexpr std::array<command_entry, 7> commands{{
    {"validate", command_name::validate, "NOTE [--json]", true, false, false},
    {"submit", command_name::submit,
     "NOTE --host IP:PORT [--host IP:PORT ...] --key-file FILE [--timeout S] [--json]", true, true,
     true},
    {"status", command_name::status, "--host IP:PORT [--host IP:PORT ...] [--timeout S] [--json]",
     false, true, false},
    {"dump", command_name::dump, "--host IP:PORT [--host IP:PORT ...] [--timeout S] [--json]",
     false, true, false},
    {"drain", command_name::drain, "--host IP:PORT --key-file FILE [--timeout S] [--json]", false,
     true, true},
    {"sample-note", command_name::sample_note,
     "--divided SERVICE:PREFIX:COUNT:PORT | --undivided SERVICE:PREFIX:COUNT:PORT ...", false,
     false, false},
    {"explain", command_name::explain, "REQUEST-ID FILE...", false, false, false},
}};

struct popt_release {
    void operator()(poptContext_s* context) const { poptFreeContext(context); }
};

using owned_text = std::unique_ptr<char, void (*)(void*)>;

void print_overview(std::FILE* stream) {
    std::fputs("Usage: greengagechutectl COMMAND [OPTION...]\n\nCommands:\n", stream);
    for (const command_entry& entry : commands) {
        std::fprintf(stream, "  %s %s\n", entry.name.data(), entry.arguments);
    }
    std::fputs(
        "\nNOTE is a file, or - for standard input. FILE is a log of a gateway. COMMAND --help "
        "explains the options.\n"
        "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 outcome unknown or pending.\n",
        stream);
}

int usage_error(std::string_view text) {
    std::fprintf(stderr, "greengagechutectl: %.*s; see --help\n", static_cast<int>(text.size()),
                 text.data());
    return exit_usage;
}

template <typename number>
std::optional<number> parse_number(std::string_view text) {
    number value{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<http::endpoint> parse_host(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const bool bracketed = address.starts_with('[') && address.ends_with(']');
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    const std::string numeric(address);
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    const int family = bracketed ? AF_INET6 : AF_INET;
    if (!port || *port == 0 || inet_pton(family, numeric.c_str(), binary.data()) != 1) {
        return std::nullopt;
    }
    return http::endpoint{numeric, *port};
}

std::optional<sample_service> parse_sample(std::string_view text, bool divided) {
    std::array<std::string_view, 4> parts;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const std::size_t colon = text.find(':');
        const bool last = index + 1 == parts.size();
        if ((colon == std::string_view::npos) != last) {
            return std::nullopt;
        }
        parts[index] = text.substr(0, colon);
        text.remove_prefix(last ? text.size() : colon + 1);
    }
    const auto count = parse_number<std::uint16_t>(parts[2]);
    const auto port = parse_number<std::uint16_t>(parts[3]);
    if (parts[0].empty() || parts[1].empty() || !count || !port || *count == 0 || *port == 0 ||
        *count > most_sample_servers || *port + *count > 65'536) {
        return std::nullopt;
    }
    return sample_service{std::string(parts[0]), std::string(parts[1]), divided, *count, *port};
}

/// Values that popt stores itself.
struct stored_values {
    char* key_file = nullptr;
    int json = 0;
    int timeout_s = 0;
    long long base_revision = 0;
    int partitions = 64;
    int slots = 3;
};

/// Handles one option that may be repeated. Returns an error text, empty if there is none.
std::string_view take_repeated(int option, const char* text, command_line& parsed) {
    if (option == host_value) {
        const auto host = parse_host(text);
        if (!host || parsed.hosts.size() == most_hosts) {
            return "--host needs a numeric address and a port";
        }
        parsed.hosts.push_back(*host);
        return {};
    }
    const auto sample = parse_sample(text, option == divided_value);
    if (!sample) {
        return "a sample service has the form SERVICE:PREFIX:COUNT:PORT";
    }
    parsed.services.push_back(*sample);
    return {};
}

std::string_view check_sample(const stored_values& stored, const command_line& parsed) {
    if (parsed.services.empty()) {
        return "sample-note needs --divided or --undivided";
    }
    const auto partitions = static_cast<std::uint32_t>(std::max(stored.partitions, 0));
    const bool power_of_two = (partitions & (partitions - 1)) == 0;
    if (!power_of_two || partitions < release::min_partitions ||
        partitions > release::max_partitions) {
        return "--partitions needs a power of two from 16 to 65536";
    }
    if (stored.slots < 1 || stored.slots > static_cast<int>(release::max_slots)) {
        return "--slots is out of range";
    }
    if (stored.base_revision < 0) {
        return "--base is out of range";
    }
    return {};
}

/// Checks that the command has what it needs. Returns an error text, empty if there is none.
std::string_view check_complete(const command_entry& entry, const stored_values& stored,
                                const command_line& parsed) {
    if (entry.needs_note != !parsed.note_file.empty()) {
        return entry.needs_note ? "exactly one release note is needed" : "unexpected argument";
    }
    if (entry.needs_host && parsed.hosts.empty()) {
        return "--host is needed";
    }
    if (entry.command == command_name::drain && parsed.hosts.size() > 1) {
        return "drain takes exactly one --host, since another host must not be drained instead";
    }
    if (entry.needs_key && stored.key_file == nullptr) {
        return "--key-file is needed";
    }
    if (stored.timeout_s < 1 || stored.timeout_s > largest_timeout_s) {
        return "--timeout needs seconds from 1 to 3600";
    }
    return entry.command == command_name::sample_note ? check_sample(stored, parsed)
                                                      : std::string_view();
}

std::variant<command_line, int> parse_options(const command_entry& entry, int argc,
                                              const char** argv) {
    stored_values stored;
    stored.timeout_s =
        entry.command == command_name::submit ? default_submit_timeout_s : default_timeout_s;
    const poptOption json_option = {
        "json", 'j', POPT_ARG_NONE, &stored.json, 0, "print one JSON object on one line", nullptr};
    const poptOption host_option = {
        "host",
        'H',
        POPT_ARG_STRING,
        nullptr,
        host_value,
        "admin listener of a host; if it cannot be reached, the next --host is tried",
        "IP:PORT"};
    const poptOption key_option = {"key-file",
                                   'k',
                                   POPT_ARG_STRING,
                                   &stored.key_file,
                                   0,
                                   "file with the operator key on one line",
                                   "FILE"};
    const poptOption timeout_option = {
        "timeout",
        't',
        POPT_ARG_INT,
        &stored.timeout_s,
        0,
        "time allowed for the whole command, in seconds (default: 30 for submit, otherwise 5)",
        "S"};
    std::vector<poptOption> table;
    if (entry.command != command_name::sample_note && entry.command != command_name::explain) {
        table.push_back(json_option);
    }
    if (entry.needs_host) {
        table.push_back(host_option);
        table.push_back(timeout_option);
    }
    if (entry.needs_key) {
        table.push_back(key_option);
    }
    if (entry.command == command_name::sample_note) {
        table.push_back({"divided", 'd', POPT_ARG_STRING, nullptr, divided_value,
                         "servers of a service that is divided by key, on consecutive ports of "
                         "127.0.0.1",
                         "SERVICE:PREFIX:COUNT:PORT"});
        table.push_back({"undivided", 'u', POPT_ARG_STRING, nullptr, undivided_value,
                         "servers of an undivided service", "SERVICE:PREFIX:COUNT:PORT"});
        table.push_back({"base", 'b', POPT_ARG_LONGLONG, &stored.base_revision, 0,
                         "revision in force (default 0)", "N"});
        table.push_back({"partitions", 'p', POPT_ARG_INT, &stored.partitions, 0,
                         "partitions of each divided service (default 64)", "N"});
        table.push_back({"slots", 's', POPT_ARG_INT, &stored.slots, 0,
                         "requests that a server runs at once (default 3)", "N"});
    }
    const std::array<poptOption, 2> end{{POPT_AUTOHELP POPT_TABLEEND}};
    table.insert(table.end(), end.begin(), end.end());

    const std::unique_ptr<poptContext_s, popt_release> context(
        poptGetContext("greengagechutectl", argc, argv, table.data(), 0));
    poptSetOtherOptionHelp(context.get(), entry.arguments);
    command_line parsed;
    int option = 0;
    std::string_view error;
    while ((option = poptGetNextOpt(context.get())) > 0 && error.empty()) {
        const owned_text text(poptGetOptArg(context.get()), std::free);
        error = take_repeated(option, text.get(), parsed);
    }
    const owned_text owned_key_file(stored.key_file, std::free);
    if (!error.empty()) {
        return usage_error(error);
    }
    if (option < -1) {
        return usage_error(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
                           ": " + poptStrerror(option));
    }
    if (entry.command == command_name::explain) {
        if (const char* id = poptGetArg(context.get()); id != nullptr) {
            parsed.request_id = id;
        }
        while (const char* file = poptGetArg(context.get())) {
            parsed.log_files.emplace_back(file);
        }
        if (parsed.log_files.empty()) {
            return usage_error("a request id and the log files of the hosts are needed");
        }
    } else if (const char* note = poptGetArg(context.get()); note != nullptr) {
        parsed.note_file = note;
    }
    if (poptPeekArg(context.get()) != nullptr) {
        return usage_error("too many arguments");
    }
    error = check_complete(entry, stored, parsed);
    if (!error.empty()) {
        return usage_error(error);
    }
    parsed.command = entry.command;
    parsed.key_file = stored.key_file == nullptr ? "" : stored.key_file;
    parsed.json = stored.json != 0;
    parsed.timeout = milliseconds(std::int64_t{1'000} * stored.timeout_s);
    parsed.base_revision = static_cast<std::uint64_t>(stored.base_revision);
    parsed.partitions = static_cast<std::uint32_t>(stored.partitions);
    parsed.slots = static_cast<std::uint32_t>(stored.slots);
    return parsed;
}

}  // namespace

std::variant<command_line, int> parse_command_line(int argc, const char** argv) {
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-?" || name == "help") {
        print_overview(stdout);
        return exit_done;
    }
    const auto* const entry =
        std::find_if(commands.begin(), commands.end(),
                     [&](const command_entry& candidate) { return candidate.name == name; });
    if (entry == commands.end()) {
        print_overview(stderr);
        return exit_usage;
    }
    return parse_options(*entry, argc - 1, argv + 1);
}

}  // namespace greengagechute::ctl
