#include "adapter/adapter.h"
#include "gateway/gateway.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "wire/client.h"
#include "wire/loop.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace gg = greengagechute;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
/// Bytes that a server may send in answer to an order.
constexpr std::size_t max_order_response = 64U << 10U;

struct arguments {
    std::string settings_path;
    bool check_only = false;
};

struct popt_release {
    void operator()(poptContext_s* context) const { poptFreeContext(context); }
};

// Returns an exit code, or -1 to go on.
int parse_arguments(int argc, const char** argv, arguments& parsed) {
    char* path = nullptr;
    int check_only = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0,
         "settings file (default: the path in GREENGAGECHUTE_SETTINGS)", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &check_only, 0,
         "check the settings file, print every error and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, popt_release> context(
        poptGetContext("greengagechute-gateway", argc, argv, options, 0));
    const int code = poptGetNextOpt(context.get());
    const std::unique_ptr<char, void (*)(void*)> owned_path(path, std::free);
    if (code < -1) {
        std::fprintf(stderr, "greengagechute-gateway: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
        return exit_usage;
    }
    const char* const variable = std::getenv(gg::adapter::settings_variable);
    if (path == nullptr && variable == nullptr) {
        std::fprintf(stderr,
                     "greengagechute-gateway: a settings file is needed "
                     "(--settings FILE or GREENGAGECHUTE_SETTINGS)\n");
        return exit_usage;
    }
    parsed.settings_path = path != nullptr ? path : variable;
    parsed.check_only = check_only != 0;
    return -1;
}

std::optional<gg::adapter::process_settings> load_settings(const std::string& path,
                                                           std::vector<std::string>& errors) {
    std::ifstream file(path);
    if (!file) {
        errors.push_back("200 unreadable_file: " + path);
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return gg::adapter::read_settings(text.str(), errors);
}

int run(const gg::adapter::process_settings& settings, const std::string& path) {
    gg::telemetry::logger_options log_options;
    log_options.host = settings.gateway.host.value();
    log_options.output = gg::telemetry::log_output::standard_output;
    const auto log = gg::telemetry::logger::create(log_options);
    if (!log) {
        std::fprintf(stderr, "greengagechute-gateway: %s\n", log.error().message().c_str());
        return exit_failed;
    }
    gg::telemetry::logger& logger = **log;
    gg::telemetry::metrics numbers;
    gg::wire::event_loop loop;
    gg::wire::client calls(loop, {}, settings.gateway.responses);
    const auto store = gg::adapter::make_store(calls, settings.store);
    // A grant that arrives after it was given up, or after this process has ended, would let a
    // server keep keys that another server owns by then.
    gg::wire::response_limits order_responses = settings.gateway.responses;
    order_responses.call_bytes = max_order_response;
    gg::wire::client order_calls(loop, {}, order_responses, gg::wire::close_mode::abortive);
    const auto orders = gg::adapter::make_orders(order_calls);
    const std::uint64_t seed =
        (static_cast<std::uint64_t>(std::random_device{}()) << 32U) | std::random_device{}();
    gg::gateway::gateway router(loop, *store, *orders, logger, numbers,
                                gg::adapter::make_row_format(), settings.gateway, seed);
    if (router.start()) {
        return exit_failed;
    }
    loop.on_signal(SIGTERM, [&router] { router.drain(); });
    loop.on_signal(SIGINT, [&router] { router.drain(); });
    loop.on_signal(SIGHUP, [&logger, path] {
        std::vector<std::string> errors;
        const bool valid = load_settings(path, errors).has_value();
        // Addresses and bounds of a running process do not change; the next start reads them.
        gg::telemetry::log_info(logger, "settings_checked",
                                {{"valid", valid}, {"errors", errors.size()}});
    });
    loop.run();
    return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    arguments parsed;
    const int code = parse_arguments(argc, const_cast<const char**>(argv), parsed);
    if (code >= 0) {
        return code;
    }
    std::vector<std::string> errors;
    const auto settings = load_settings(parsed.settings_path, errors);
    for (const std::string& error : errors) {
        std::fprintf(stderr, "greengagechute-gateway: %s: %s\n", parsed.settings_path.c_str(),
                     error.c_str());
    }
    if (!settings) {
        return exit_settings;
    }
    if (parsed.check_only) {
        std::printf("%s: valid\n", parsed.settings_path.c_str());
        return exit_ok;
    }
    return run(*settings, parsed.settings_path);
}
