#pragma once

#include "process.h"
#include "proxy.h"
#include "wire/loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace greengagechute::soak {

/// A gateway as a process of its own, with its way to the store through a proxy.
class gateway_host {
public:
    /// @param ip  an address of loopback that no other run uses
    gateway_host(wire::event_loop& loop, std::string program, std::string directory, std::string ip,
                 int number, std::uint16_t store_port);

    void start();
    void kill();
    void terminate();
    void pause(bool paused);
    void hang_up() const;
    /// Runs, and no signal has been sent that ends or pauses it.
    bool serving() const { return this->state == run_state::serving; }
    /// The process has ended although nobody asked it to.
    bool ended_by_itself();
    /// A terminated process has ended.
    bool gone();
    bool paused() const { return this->state == run_state::paused; }
    /// The process may cut requests: it was killed after that time, or is down.
    bool cut_since(time_point time) const { return this->last_cut >= time; }
    /// The process, or its way to the store, was disturbed.
    void disturbed(time_point now) { this->last_disturbed = now; }
    bool disturbed_since(time_point time) const { return this->last_disturbed >= time; }
    const wire::endpoint& front() const { return this->callers_side; }
    const std::string& name() const { return this->host_name; }
    proxy& store_path() { return this->to_store; }

private:
    enum class run_state { down, serving, paused, ending };

    std::string program;
    std::string directory;
    std::string host_name;
    wire::endpoint callers_side;
    proxy to_store;
    std::string settings_path;
    std::unique_ptr<system_tests::process> child;
    run_state state = run_state::down;
    time_point last_cut;
    time_point last_disturbed;
};

}  // namespace greengagechute::soak
