#include "router/daemon.h"
#include "settings/load.h"

#include <popt.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;

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
        {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file in INI format", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &check_only, 0,
         "check the settings file, print every error and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, popt_release> context(
        poptGetContext("greengagechuted", argc, argv, options, 0));
    const int code = poptGetNextOpt(context.get());
    const std::unique_ptr<char, void (*)(void*)> owned_path(path, std::free);
    if (code < -1) {
        std::fprintf(stderr, "greengagechuted: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
        return exit_usage;
    }
    if (path == nullptr || poptPeekArg(context.get()) != nullptr) {
        std::fprintf(stderr,
                     "greengagechuted: exactly one settings file is needed (--settings FILE)\n");
        return exit_usage;
    }
    parsed.settings_path = path;
    parsed.check_only = check_only != 0;
    return -1;
}

}  // namespace

int main(int argc, char** argv) {
    arguments parsed;
    const int usage = parse_arguments(argc, const_cast<const char**>(argv), parsed);
    if (usage >= 0) {
        return usage;
    }
    const auto loaded = greengagechute::settings::load_file(parsed.settings_path);
    if (!loaded.settings) {
        for (const auto& error : loaded.errors) {
            std::fprintf(stderr, "%s\n", error.message().c_str());
        }
        return exit_settings;
    }
    if (parsed.check_only) {
        std::printf("%s: no errors\n", parsed.settings_path.c_str());
        return exit_ok;
    }

    // All threads inherit the mask, so that only this one receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto created = greengagechute::router::daemon::create(*loaded.settings);
    if (!created) {
        std::fprintf(stderr, "greengagechuted: cannot start: %s (%d)\n",
                     created.error().message().c_str(), created.error().value());
        return exit_failed;
    }
    const std::unique_ptr<greengagechute::router::daemon> daemon = std::move(*created);
    daemon->start([] { kill(getpid(), SIGINT); });
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal == SIGTERM) {
        daemon->shut_down();
        // A second signal, or the end of the shutdown, stops the process.
        sigwait(&signals, &signal);
    }
    daemon->stop();
    return exit_ok;
}
