#include "commands.h"

#include "admin_calls.h"
#include "base/clock.h"
#include "base/uuid.h"
#include "exit_codes.h"
#include "explain.h"
#include "release/catalogue.h"
#include "release/note.h"
#include "sample_note.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace greengagechute::ctl {

namespace {

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_accepted = 202;
constexpr int http_bad_request = 400;
constexpr int http_conflict = 409;
constexpr milliseconds submit_retry_delay{500};
constexpr std::size_t largest_key_file = 4'096;

std::optional<std::string> read_bounded(std::istream& stream, std::size_t largest) {
    std::string text;
    char character = 0;
    while (text.size() <= largest && stream.get(character)) {
        text += character;
    }
    return stream.bad() ? std::nullopt : std::optional<std::string>(std::move(text));
}

/// The content of a file, cut off one byte after `largest` so that the reader can refuse it.
std::optional<std::string> read_file(const std::string& path, std::size_t largest) {
    if (path == "-") {
        return read_bounded(std::cin, largest);
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return read_bounded(file, largest);
}

int cannot_read(const std::string& path) {
    std::fprintf(stderr, "greengagechutectl: cannot read %s\n", path.c_str());
    return exit_usage;
}

/// The operator key, or empty if the file cannot be read or holds none.
std::string read_key(const std::string& path) {
    std::string key = read_file(path, largest_key_file).value_or("");
    const std::size_t last = key.find_last_not_of("\r\n");
    key.resize(last == std::string::npos ? 0 : last + 1);
    return key;
}

json parse_object(const std::string& text) {
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

/// A member as text without quotes; empty if it is absent.
std::string text_of(const json& object, const char* name) {
    if (!object.is_object()) {
        return {};
    }
    const auto found = object.find(name);
    if (found == object.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

const json& list_of(const json& object, const char* name) {
    static const json empty = json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : empty;
}

std::string address_of(const http::endpoint& host) {
    const bool is_ipv6 = host.address.find(':') != std::string::npos;
    const std::string address = is_ipv6 ? "[" + host.address + "]" : host.address;
    return address + ":" + std::to_string(host.port);
}

void print_line(const std::string& text) {
    std::fputs((text + "\n").c_str(), stdout);
}

int report_fault(const release::note_fault& fault, bool as_json) {
    if (as_json) {
        const json body{{"state", "refused"},
                        {"code", fault.code.value()},
                        {"message", fault.code.message()},
                        {"detail", fault.path}};
        print_line(body.dump(-1, ' ', false, json::error_handler_t::replace));
    } else {
        print_line("not valid: " + fault.code.message() + " (" +
                   std::to_string(fault.code.value()) + ")" +
                   (fault.path.empty() ? "" : " at " + fault.path));
    }
    return exit_refused;
}

int report_no_answer(const call_answer& answer) {
    std::fprintf(stderr, "greengagechutectl: %s: %s: %s (%d)\n", address_of(answer.host).c_str(),
                 answer.state == call_state::unreachable ? "no host can be reached"
                                                         : "no answer was received",
                 answer.cause.message().c_str(), answer.cause.value());
    return answer.state == call_state::unreachable ? exit_unreachable : exit_pending;
}

int report_refusal(const call_answer& answer, bool as_json) {
    if (as_json) {
        print_line(answer.body);
        return exit_refused;
    }
    const json body = parse_object(answer.body);
    std::string line = "refused by " + address_of(answer.host) + ": " + text_of(body, "message") +
                       " (" + text_of(body, "code") + ")";
    if (const std::string detail = text_of(body, "detail"); !detail.empty()) {
        line += ": " + detail;
    }
    if (const std::string number = text_of(body, "revision"); !number.empty() && number != "0") {
        line += "; revision in force: " + number;
    }
    print_line(line);
    return exit_refused;
}

/// Checks a note without a daemon. A note with a base other than 0 depends on the catalogue in
/// force, so only its form is checked.
std::optional<release::note_fault> check_note(const std::string& text, release::note& value) {
    auto parsed = release::parse_note(text);
    if (const auto* fault = std::get_if<release::note_fault>(&parsed)) {
        return *fault;
    }
    value = std::get<release::note>(std::move(parsed));
    if (value.base != revision(0)) {
        return std::nullopt;
    }
    const auto applied = release::apply(release::catalogue{}, value);
    if (const auto* fault = std::get_if<release::note_fault>(&applied)) {
        return *fault;
    }
    return std::nullopt;
}

int run_validate(const command_line& options) {
    const auto text = read_file(options.note_file, release::max_note_text);
    if (!text) {
        return cannot_read(options.note_file);
    }
    release::note note;
    if (const auto fault = check_note(*text, note)) {
        return report_fault(*fault, options.json);
    }
    const bool applied = note.base == revision(0);
    if (options.json) {
        const json body{{"state", "valid"},
                        {"submission_id", note.submission},
                        {"base_revision", note.base.value()},
                        {"changes", note.changes.size()},
                        {"applied", applied}};
        print_line(body.dump());
    } else {
        print_line("valid: " + std::to_string(note.changes.size()) + " changes" +
                   (applied ? ""
                            : " (form only; the daemon checks them against revision " +
                                  std::to_string(note.base.value()) + ")"));
    }
    return exit_done;
}

bool is_final(const call_answer& answer, bool earlier_attempt_unknown) {
    if (answer.state != call_state::answered || answer.status == http_accepted) {
        return false;
    }
    // Only these answers tell what became of an earlier attempt with the same submission id.
    return !earlier_attempt_unknown || answer.status == http_ok ||
           answer.status == http_bad_request || answer.status == http_conflict;
}

int report_open(const std::string& submission, const call_answer& last, bool as_json) {
    if (as_json) {
        print_line(json{{"state", "pending"}, {"submission_id", submission}}.dump());
    } else {
        print_line("pending: the outcome of submission " + submission +
                   " is not known; submit the same file again");
    }
    return last.state == call_state::answered ? exit_pending : report_no_answer(last);
}

int run_submit(const command_line& options, const std::string& key, time_point deadline) {
    const auto text = read_file(options.note_file, release::max_note_text);
    if (!text) {
        return cannot_read(options.note_file);
    }
    const auto parsed = release::parse_note(*text);
    if (const auto* fault = std::get_if<release::note_fault>(&parsed)) {
        return report_fault(*fault, options.json);
    }
    const std::string& submission = std::get<release::note>(parsed).submission;
    http::request message;
    message.method = "POST";
    message.path = "/admin/notes";
    message.headers = {{"content-type", "application/json"}};
    message.body = *text;
    bool earlier_attempt_unknown = false;
    for (;;) {
        call_answer answer = call_hosts(options.hosts, message, key, deadline);
        if (answer.state == call_state::unreachable && !earlier_attempt_unknown) {
            return report_no_answer(answer);
        }
        if (is_final(answer, earlier_attempt_unknown)) {
            if (answer.status != http_ok) {
                return report_refusal(answer, options.json);
            }
            print_line(options.json ? answer.body
                                    : "in force: revision " +
                                          text_of(parse_object(answer.body), "revision"));
            return exit_done;
        }
        earlier_attempt_unknown = true;
        if (std::chrono::steady_clock::now() + submit_retry_delay >= deadline) {
            answer.state =
                answer.state == call_state::unreachable ? call_state::unknown : answer.state;
            return report_open(submission, answer, options.json);
        }
        // The same text and submission id again: the daemons answer a known submission with its
        // result.
        std::this_thread::sleep_for(submit_retry_delay);
    }
}

std::string yes_or_no(const json& object, const char* name) {
    return text_of(object, name) == "true" ? "yes" : "no";
}

void print_status(const json& body) {
    print_line("host " + text_of(body, "host") + ": ready " + yes_or_no(body, "ready") +
               ", standing " + yes_or_no(body, "standing"));
    print_line("revision " + text_of(body, "revision") + ", certain " +
               yes_or_no(body, "revision_certain"));
    print_line("coordinator " + text_of(body, "coordinator") + ", term " + text_of(body, "term"));
    print_line("roster version " + text_of(body, "roster_version"));
    for (const json& host : list_of(body, "hosts")) {
        print_line("  " + text_of(host, "host") + " " + text_of(host, "address") + " " +
                   text_of(host, "data_centre"));
    }
    for (const json& service : list_of(body, "services")) {
        print_line("service " + text_of(service, "service") + ": map version " +
                   text_of(service, "map_version") + ", " + text_of(service, "partitions") +
                   " partitions");
        for (const json& server : list_of(service, "servers")) {
            print_line("  " + text_of(server, "server") + " dispatcher " +
                       text_of(server, "dispatcher") + " standby " + text_of(server, "standby") +
                       (yes_or_no(server, "standby_confirmed") == "yes" ? "" : " (unconfirmed)") +
                       " partitions " + text_of(server, "partitions") +
                       (yes_or_no(server, "leaving") == "yes" ? " leaving" : ""));
        }
    }
}

int run_query(const command_line& options, const char* path, time_point deadline) {
    http::request message;
    message.method = "GET";
    message.path = path;
    const call_answer answer = call_hosts(options.hosts, message, "", deadline);
    if (answer.state != call_state::answered) {
        return report_no_answer(answer);
    }
    if (answer.status != http_ok) {
        return report_refusal(answer, options.json);
    }
    if (options.json) {
        print_line(answer.body);
    } else if (options.command == command_name::status) {
        print_status(parse_object(answer.body));
    } else {
        print_line(parse_object(answer.body).dump(2, ' ', false, json::error_handler_t::replace));
    }
    return exit_done;
}

int run_drain(const command_line& options, const std::string& key, time_point deadline) {
    http::request message;
    message.method = "POST";
    message.path = "/admin/drain";
    const call_answer answer = call_hosts(options.hosts, message, key, deadline);
    if (answer.state != call_state::answered) {
        return report_no_answer(answer);
    }
    if (answer.status != http_accepted) {
        return report_refusal(answer, options.json);
    }
    print_line(options.json ? answer.body
                            : address_of(answer.host) + " drains; its process exits afterwards");
    return exit_done;
}

int run_explain(const command_line& options) {
    std::vector<std::ifstream> files;
    files.reserve(options.log_files.size());
    std::vector<log_source> sources;
    for (const std::string& name : options.log_files) {
        files.emplace_back(name);
        if (!files.back()) {
            std::fprintf(stderr, "greengagechutectl: %s cannot be read\n", name.c_str());
            return exit_usage;
        }
        sources.push_back({name, &files.back()});
    }
    const account found = explain(options.request_id, sources);
    std::fputs(found.text.c_str(), stdout);
    return found.found ? exit_done : exit_refused;
}

int run_sample_note(const command_line& options) {
    std::mt19937_64 generator(std::random_device{}());
    const release::note note = make_sample_note(options, make_uuid7(wall_now(), generator));
    const std::string text = release::encode(note);
    release::note checked;
    if (const auto fault = check_note(text, checked)) {
        std::fprintf(stderr, "greengagechutectl: these services give no valid note: %s (%d) %s\n",
                     fault->code.message().c_str(), fault->code.value(), fault->path.c_str());
        return exit_usage;
    }
    print_line(json::parse(text).dump(2));
    return exit_done;
}

}  // namespace

int run(const command_line& options) {
    const time_point deadline = std::chrono::steady_clock::now() + options.timeout;
    std::string key;
    if (!options.key_file.empty()) {
        key = read_key(options.key_file);
        if (key.empty()) {
            return cannot_read(options.key_file);
        }
    }
    switch (options.command) {
        case command_name::validate:
            return run_validate(options);
        case command_name::submit:
            return run_submit(options, key, deadline);
        case command_name::status:
            return run_query(options, "/admin/status", deadline);
        case command_name::dump:
            return run_query(options, "/state", deadline);
        case command_name::drain:
            return run_drain(options, key, deadline);
        case command_name::explain:
            return run_explain(options);
        case command_name::sample_note:
            break;
    }
    return run_sample_note(options);
}

}  // namespace greengagechute::ctl
