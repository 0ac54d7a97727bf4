#include "hosts.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace greengagechute::soak {

gateway_host::gateway_host(wire::event_loop& loop, std::string binary, std::string output,
                           std::string ip, int number, std::uint16_t store_port)
    : program(std::move(binary)),
      directory(std::move(output)),
      host_name("host-" + std::to_string(number)),
      to_store(loop, {"127.0.0.1", store_port}) {
    constexpr int first_port = 7'000;
    constexpr int ports_of_host = 10;
    const int first = first_port + number * ports_of_host;
    this->settings_path = this->directory + "/" + this->host_name + ".conf";
    std::ofstream file(this->settings_path);
    file << "nodeName=" << this->host_name << "\nip=" << ip
         << "\nzone=a\nzones.a=north\nzones.b=north\nzones.c=south\n"
         << "listen.front=" << ip << ":" << first << "\nlisten.readyAddr=" << ip << ":" << first + 1
         << "\ninternalPorts=" << first + 2 << "," << first + 2
         << "\nplatform.address=127.0.0.1:" << this->to_store.address().port
         << "\nbounds.graceS=6\nbounds.holdMaxS=10\n";
    this->callers_side = {std::move(ip), static_cast<std::uint16_t>(first)};
}

void gateway_host::start() {
    this->child = std::make_unique<system_tests::process>(
        std::vector<std::string>{this->program, "--settings", this->settings_path},
        this->directory + "/" + this->host_name + ".log");
    this->state = run_state::serving;
    this->disturbed(wire::event_loop::now());
}

void gateway_host::kill() {
    this->child->kill_now();
    this->state = run_state::down;
    this->last_cut = wire::event_loop::now();
}

void gateway_host::terminate() {
    this->child->signal(SIGTERM);
    this->state = run_state::ending;
    this->disturbed(wire::event_loop::now());
}

void gateway_host::pause(bool stop) {
    this->child->signal(stop ? SIGSTOP : SIGCONT);
    this->state = stop ? run_state::paused : run_state::serving;
    this->last_cut = wire::event_loop::now();
    this->disturbed(this->last_cut);
}

void gateway_host::hang_up() const {
    this->child->signal(SIGHUP);
}

bool gateway_host::ended_by_itself() {
    return this->state == run_state::serving && !this->child->running();
}

bool gateway_host::gone() {
    if (this->state == run_state::ending && !this->child->running()) {
        this->state = run_state::down;
    }
    return this->state == run_state::down;
}

}  // namespace greengagechute::soak
