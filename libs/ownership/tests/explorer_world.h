#pragma once

#include "ownership/dispatch.h"
#include "ownership/map_planner.h"

#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>

namespace greengagechute::ownership::explorer {

using real_time = std::int64_t;  // simulated time in microseconds
constexpr real_time ms = 1000;
constexpr real_time start_time = 100'000 * ms;
constexpr real_time fault_phase_end = start_time + 9'000 * ms;
constexpr real_time run_end = fault_phase_end + 11'000 * ms;
constexpr real_time tick_period = 60 * ms;
constexpr std::size_t host_count = 3;
constexpr std::size_t server_count = 3;
constexpr std::size_t planner_process = host_count + server_count;
constexpr std::size_t process_count = planner_process + 1;
constexpr std::uint32_t partition_count = 4;
// Shorter than the defaults, but with the same relations to each other, so that a schedule contains
// many changes of roles.
constexpr milliseconds standing_length{1800};
constexpr milliseconds authority_bound{3000};

struct process {
    // Rate of the local clock relative to the simulated time.
    double rate = 1;
    // Incremented at each restart; events of earlier runs are dropped.
    std::uint64_t run = 1;
    real_time paused_until = 0;
};

struct host_process {
    host_instance self;
    placement::service_map map;
    std::map<server_id, dispatch_state> dispatching;
    std::map<server_id, standby_state> standing_by;
    time_point standing_until;
};

struct planner_process_state {
    planner_state state;
    std::map<host_instance, time_point> heard;
};

/// Simulates hosts, servers and the coordinator under one random schedule of messages and faults.
/// After every event it checks that no partition can run on two servers; at the end, that all
/// partitions are served again.
class world {
public:
    world(std::uint64_t seed, bool verbose);

    /// Runs the schedule. Returns a description of the first violation, or an empty string.
    std::string run();

    std::deque<std::string> trace;

private:
    struct scheduled {
        real_time at;
        std::uint64_t number;
        std::size_t target;
        std::uint64_t run;  // 0: not bound to a run of a process
        std::function<void()> action;
        bool operator<(const scheduled& other) const {
            return std::pair(other.at, other.number) < std::pair(this->at, this->number);
        }
    };

    std::uint64_t random(std::uint64_t bound) { return this->generator() % bound; }
    bool chance(std::uint64_t percent) { return this->random(100) < percent; }
    bool faults_enabled() const { return this->now < fault_phase_end; }

    void push(real_time at, std::size_t target, std::uint64_t run, std::function<void()> action);
    void after(real_time delay, std::size_t target, std::function<void()> action);
    void send(std::size_t from, std::size_t to, const std::function<void()>& action);
    void log(const std::string& text);

    time_point local(std::size_t id) const;
    server_time server_clock(std::size_t index) const;
    static std::size_t server_number(const server_id& server);
    static std::size_t host_number(const host_instance& host);
    bool has_standing(std::size_t id) const;

    // Hosts.
    void start_host(std::size_t id);
    void restart_host(std::size_t id, real_time delay);
    void tick_host(std::size_t id);
    void apply_map(std::size_t id);
    void acknowledge_map(std::size_t id);
    static timing times();
    void deliver_event(std::size_t id, const server_id& server, const dispatch_event& event);
    void deliver_standby_event(std::size_t id, const server_id& server, const standby_event& event);
    void watch(std::size_t id, const server_id& server, const host_instance& dispatcher);
    void execute(std::size_t id, const server_id& server,
                 const std::vector<dispatch_action>& actions);
    void deliver_hand_over(std::size_t id, const server_id& server,
                           const send_hand_over& hand_over);

    // Servers.
    void ask_server(std::size_t id, const server_id& server,
                    const std::optional<grant>& offered_grant, bool by_standby);
    void send_work(std::size_t id, const server_id& server, const dispatch_state& state);

    // The coordinator and its table.
    void start_planner();
    void tick_planner();
    void receive_acknowledgement(std::size_t id, const map_acknowledged& ack, time_point sent_at);
    void deliver_planner_event(const planner_event& event);
    void commit(const placement::service_map& map);
    static std::string describe(const placement::service_map& map);

    // Faults.
    void schedule_fault();
    void inject_fault();

    // Checks.
    void log_states();
    void check_exclusion();
    std::size_t served_partitions() const;
    void check_availability();

    std::mt19937_64 generator;
    bool is_verbose;
    real_time now = start_time;
    real_time next_availability_check = fault_phase_end + 3'000 * ms;
    std::uint64_t sequence = 0;
    std::priority_queue<scheduled> queue;
    std::array<process, process_count> processes;
    std::array<host_process, host_count> hosts;
    std::array<server_state, server_count> servers;
    planner_process_state planner;
    placement::service_map table;
    std::vector<placement::placement_server> catalogue;
    std::map<std::pair<std::size_t, std::size_t>, real_time> cut_until;
    std::map<held_partition, std::size_t> owners;
    std::map<partition_id, epoch> latest_work;
    std::string fault;
};

}  // namespace greengagechute::ownership::explorer
