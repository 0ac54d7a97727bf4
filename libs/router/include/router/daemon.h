#pragma once

#include "base/result.h"
#include "settings/daemon_settings.h"

#include <functional>
#include <memory>

namespace greengagechute::router {

/// A daemon: the entry, dispatch and control tasks, each on a thread of its own.
class daemon {
public:
    /// Opens the listeners.
    /// Errors: `http_errc::listen_failed`, those of `peer::transport::create` and of
    /// `telemetry::logger::create`.
    static result<std::unique_ptr<daemon>> create(const settings::daemon_settings& settings);

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    /// Starts the tasks. `on_stopped` is called on a task's thread after a graceful shutdown.
    void start(std::function<void()> on_stopped);

    /// Begins a graceful shutdown: readiness fails, new requests are refused after the drain delay,
    /// dispatching is handed over, running work ends, and the host leaves the roster. Thread-safe.
    void shut_down();

    /// Stops the tasks and waits for their threads.
    void stop();

private:
    struct parts;
    explicit daemon(std::unique_ptr<parts> created);

    std::unique_ptr<parts> implementation;
};

}  // namespace greengagechute::router
