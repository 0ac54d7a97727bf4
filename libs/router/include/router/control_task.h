#pragma once

#include "base/ids.h"
#include "http/event_loop.h"
#include "membership/coordinator_view.h"
#include "membership/relay.h"
#include "membership/standing.h"
#include "membership/term.h"
#include "ownership/acknowledgement.h"
#include "ownership/map_planner.h"
#include "platform/client.h"
#include "release/activation.h"
#include "release/rollout.h"
#include "router/dispatch_task.h"
#include "router/entry_task.h"
#include "router/links.h"
#include "router/mailbox.h"
#include "router/routing_view.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace greengagechute::router {

struct control_settings {
    host_instance self;
    region_id region;
    data_centre_id data_centre;
    std::vector<std::string> seeds;
    milliseconds heartbeat_period{1000};
    membership::standing_timing standing;
    membership::view_timing view;
    membership::term_timing term;
};

/// Asks for the state as JSON text; `done` is called on the control task's thread.
struct status_requested {
    std::function<void(std::string)> done;
};
/// An operator submits a release note; `done` is called once with the final answer.
struct note_order {
    std::string submission;
    std::string text;
    std::function<void(release::submission_answer)> done;
};
/// An operator asks for the state of a submission. `done` is called once, on the control task's
/// thread. Errors: `router_errc::unknown_submission` if the host knows nothing of the id, and those
/// of `platform::client` if the table cannot be read.
struct submission_requested {
    std::string submission;
    std::function<void(const result<release::submission_answer>&)> done;
};
/// Leave the roster; `done` is called when the roster no longer has this host, or not at all.
struct leave_ordered {
    std::function<void()> done;
};
using control_message =
    std::variant<delivery, dispatch_report, newer_version_seen, status_requested, note_order,
                 submission_requested, leave_ordered, dump_requested>;

/// Publishes views and standing to the request tasks.
struct control_outputs {
    std::function<void(view_pointer)> publish_view;
    std::function<void(standing_notice)> publish_standing;
    std::function<void(admission::loss_notice)> publish_quarantine;
};

struct control_counters {
    std::uint64_t heartbeats_received = 0;
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t store_commits = 0;
    std::uint64_t store_failures = 0;
    std::uint64_t terms_held = 0;
    std::uint64_t snapshots_sent = 0;
};

/// Membership, release notes and maps: the host's own part, and the coordinator's part while this
/// host holds the term. Runs on its own event loop, together with the platform client.
class control_task {
public:
    control_task(http::event_loop& loop, const control_settings& settings, const links& peers,
                 platform::client& store, control_outputs outputs,
                 std::shared_ptr<telemetry::logger> log, telemetry::metrics& registry);
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;
    ~control_task();

    /// Starts the timers and reads the store. Before the loop runs.
    void start();

    mailbox<control_message>& inbox() { return this->messages; }

    /// Whether the platform's balancer may send callers here. Task's thread.
    bool ready(time_point now) const;

private:
    struct coordinator_role;
    struct waiting_submission;
    struct map_reading;

    void receive(control_message message);
    void receive(const delivery& message);
    void receive(const dispatch_report& message);
    void receive(const newer_version_seen& message);
    void receive(const status_requested& message);
    void receive(const note_order& message);
    void receive(const submission_requested& message);
    void receive(const leave_ordered& message);
    void receive(const dump_requested& message);

    void handle(const peer::sender& from, const peer::heartbeat& message);
    void handle(const peer::sender& from, const peer::heartbeat_ack& message);
    void handle(const peer::sender& from, const peer::join& message);
    void handle(const peer::sender& from, const peer::leave& message);
    void handle(const peer::sender& from, const peer::snapshot_request& message);
    void handle(const peer::sender& from, const peer::snapshot& message);
    void handle(const peer::sender& from, const peer::prepare_note& message);
    void handle(const peer::sender& from, const peer::prepared& message);
    void handle(const peer::sender& from, const peer::activate_note& message);
    void handle(const peer::sender& from, const peer::activated& message);
    void handle(const peer::sender& from, const peer::abort_note& message);
    void handle(const peer::sender& from, const peer::welcome& message);
    void handle(const peer::sender& from, const peer::submit_note& message);
    void handle(const peer::sender& from, const peer::submit_result& message);
    void handle(const peer::sender& from, const peer::map_update& message);
    void handle(const peer::sender& from, const peer::map_ack& message);
    void handle(const peer::sender& from, const peer::dispatcher_changed& message);
    void handle(const peer::sender& from, const peer::token_report& message);
    void handle(const peer::sender& from, const peer::quarantine_notice& message);

    // The host's own part.
    void tick();
    void read_store();
    void read_maps();
    void read_map(const platform::row& row, const std::shared_ptr<map_reading>& reading);
    void finish_map_reading(const map_reading& reading);
    void read_maps_again();
    void join_if_needed(time_point now);
    void repeat_announcements(time_point now);
    void ask_for_versions(time_point now);
    void ask_snapshot(const std::string& address);
    void ask_for_missing();
    void adopt_roster(const membership::roster& members);
    void adopt_map(const placement::service_map& map);
    void adopt_dispatcher(const peer::dispatcher_changed& message);
    void note_coordinator(term_number term, const host_instance& host, const std::string& address);
    void publish_view();
    void publish_standing(time_point now);
    void count_start_reply(const host_instance& host, const peer::snapshot& message);
    void advance_term(const membership::term_event& event);
    void act(const membership::term_action& action);
    void advance_standing(const membership::standing_event& event);
    void advance_activation(const release::activation_event& event);
    void act(const release::activation_action& action);
    void pass_acknowledgements(time_point now);
    std::string address_of(const host_instance& host) const;
    void send_to(const host_instance& host, peer::message content);
    void send_to_coordinator(peer::message content);
    void acknowledge_map(const map_acted& acted);
    void broadcast(const peer::message& content);
    std::uint64_t clock_mark() const;
    peer::heartbeat_ack::entry own_report() const;

    // The coordinator's part.
    void begin_coordinator(term_number number);
    void end_coordinator();
    void tick_coordinator(time_point now);
    void update_guard(time_point now);
    void send_heartbeats(time_point now);
    void hear(const peer::heartbeat_ack::entry& report);
    void hear_all(const peer::heartbeat_ack& message);
    void advance_view(const membership::view_event& event);
    void act(const membership::view_action& action);
    void advance_rollout(const release::rollout_event& event);
    void act(const release::rollout_action& action);
    void advance_planner(const service_id& service, const ownership::planner_event& event);
    void act(const service_id& service, const ownership::planner_action& action);
    void commit_map(const service_id& service, const placement::service_map& map);
    void retry_map_commit(const service_id& service, const placement::service_map& map);
    void resolve_map(const service_id& service);
    void count_members(const membership::roster& members);
    void update_planner_inputs();
    void check_named_hosts(time_point now);
    void commit(const platform::transaction& change,
                std::function<void(membership::write_outcome, std::uint64_t)> done);
    void read_commit(const std::string& id,
                     std::function<void(membership::write_outcome, std::uint64_t)> done);
    void answer_submission(const release::submission_answer& answer);
    void expire_submissions(time_point now);
    std::optional<release::submission_answer> find_submission(const std::string& submission) const;
    std::string describe_status() const;

    http::event_loop& loop;
    const control_settings settings;
    const links& peers;
    platform::client& store;
    control_outputs outputs;
    std::shared_ptr<telemetry::logger> log;
    mailbox<control_message> messages;
    std::mt19937_64 generator;

    membership::term_state term;
    membership::standing_state standing;
    release::activation_state activation;
    std::map<service_id, std::shared_ptr<const placement::service_map>> maps;
    std::map<server_id, dispatcher_override> overrides;
    /// Takeovers of this host that no map shows yet.
    std::map<server_id, peer::dispatcher_changed> announcements;
    std::optional<time_point> last_announcement;
    std::map<host_instance, std::string> extra_addresses;
    term_number coordinator_term;
    host_instance coordinator;
    std::string coordinator_address;
    /// Last heartbeat, for relaying and for finding out what is missing here.
    std::optional<peer::heartbeat> last_heartbeat;
    std::optional<time_point> last_heartbeat_at;
    std::string last_heartbeat_from;
    std::map<service_id, ownership::sent_acknowledgement> sent_acknowledgements;
    /// Send times of the hosts that acknowledge to this one, echoed in heartbeats.
    std::map<host_instance, std::uint64_t> marks;
    std::optional<membership::ack_collection> collection;
    std::string parent_address;
    bool store_read_outstanding = false;
    bool roster_known = false;
    bool view_dirty = true;
    std::optional<time_point> last_store_read;
    std::optional<time_point> last_join;
    std::optional<time_point> last_version_query;
    std::optional<time_point> last_missing_query;
    std::shared_ptr<const release::catalogue> published_catalogue;
    standing_notice published_standing;
    std::map<std::string, std::vector<waiting_submission>> submissions;
    /// Submissions that were refused lately; the table has no row for them.
    std::deque<release::submission_answer> refusals;
    std::optional<leave_ordered> leaving;
    std::optional<time_point> last_leave;
    /// Answers of roster hosts to a host that starts during an outage: active and prepared
    /// revision.
    std::map<host_instance, std::pair<revision, revision>> start_replies;
    std::unique_ptr<coordinator_role> role;
    control_counters counters;
    telemetry::gauge active_revision_gauge;
    telemetry::counter moved_total;
    telemetry::latency_histogram note_activation;
};

}  // namespace greengagechute::router
