#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/balancer.h"
#include "gateway/catalogue.h"
#include "gateway/crash_guard.h"
#include "gateway/directory.h"
#include "gateway/evacuations.h"
#include "gateway/key_limits.h"
#include "gateway/store.h"
#include "gateway/suspect_requests.h"
#include "leadership/grant_authority.h"
#include "ranges/key_load.h"
#include "ranges/lease_manager.h"
#include "telemetry/logger.h"
#include "wire/client.h"
#include "wire/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace greengagechute::gateway {

/// Processing and network capacity of a host.
struct host_capacity {
    /// CPU time available to the process, in cores.
    double cpu_cores = 1;
    double link_mbps = 1'000;
};

struct coordinator_settings {
    host_id host;
    /// Address at which the other hosts reach this one.
    wire::endpoint address;
    host_capacity capacity;
    data_centre_id data_centre;
    std::map<data_centre_id, region_id> regions;
    /// A host with at least this capacity takes over without delay. A new coordinator encodes the
    /// owners and sends them to each host, 4 MB in all at 87 hosts and 230 servers. With this
    /// capacity that takes a third of a second, less than the remaining lease time.
    host_capacity full_capacity{0.2, 100};
    /// Delay before a host with negligible capacity takes over from a lost coordinator. The hosts
    /// notice the loss within one held report of each other.
    milliseconds max_takeover_delay{200};
    /// Longest time for which the coordinator holds a report (long polling); it answers earlier if
    /// owners change. The coordinator counts as lost after two reports without an answer.
    milliseconds max_report_hold{400};
    /// Pause between an answer and the next report.
    milliseconds report_pause{30};
    milliseconds report_timeout{700};
    /// Timeout of the report that follows an unanswered one; the coordinator answers it without
    /// holding it, so a few round trips between regions suffice. `report_timeout`, this timeout and
    /// the takeover together fit into the remaining time of a renewed lease.
    milliseconds probe_timeout{400};
    /// Pause after a report that failed.
    milliseconds report_retry_delay{250};
    /// After the coordinator resigns, each other host tries to take over after a random delay up to
    /// this.
    milliseconds takeover_spread{60};
    /// Longest time for which hosts wait for the holder of the term to start coordinating: enough
    /// for three calls to a store that is a hundred times slower than usual.
    milliseconds takeover_timeout{1'500};
    /// Interval at which the coordinator sends due orders and updates leases.
    milliseconds tick_interval{50};
    milliseconds balance_interval{500};
    /// Interval at which limits of hot keys are decided.
    milliseconds limit_interval{200};
    /// Time constant of the load that limits are decided by.
    milliseconds limit_load_decay{500};
    /// Time for which a new coordinator learns the load before it ends limits of the former one.
    milliseconds limit_learning_time{1'500};
    milliseconds order_timeout{600};
    /// Half of it is the longest time for which a coordinator may be suspended, or lack the store
    /// while others reach it, without being replaced. A former coordinator may lend allowances for
    /// this long, and grant leases for this long after the store came back from a copy.
    milliseconds isolation_timeout{2'000};
    leadership::authority_settings authority;
    /// Interval at which a coordinator that most hosts do not follow asks the store for the term.
    milliseconds term_check_interval{250};
    /// Delay before a host that knows the term only from a restored store takes over. The
    /// coordinator before the restore, if it is alive, writes its term again first.
    milliseconds restored_takeover_delay{1'000};
    /// Age up to which directory data may be relayed by the coordinator and used by other hosts. It
    /// covers one wait in the store, one held report and the round trips of both.
    milliseconds relay_max_age{1'200};
    admission::quarantine_limits quarantine = default_quarantine;
    ranges::lease_settings keeper;
};

/// Report that a host sends to the coordinator.
struct host_report {
    host_id host;
    /// Address at which the other hosts reach this one; empty in reports of earlier releases.
    std::optional<wire::endpoint> address;
    /// Empty in reports of earlier releases.
    data_centre_id data_centre;
    /// Store version of the newest evacuation, or withdrawal of one, that the host knows; its
    /// number is 0 if it knows none.
    store_version evacuations;
    /// Hash of the contacts that the host has; 0 if it has none.
    std::uint64_t contacts = 0;
    /// Positions of the requested keys, from which the coordinator estimates load.
    std::map<service_id, std::vector<ranges::key_position>> keys;
    /// Measured service times.
    std::map<service_id, std::map<server_id, service_time_sample>> speeds;
    /// Queues reported by the owners of limited keys.
    std::map<service_id, std::map<server_id, queue_sample>> queues;
    /// Version of the limits that the host has; 0 if it has none.
    std::uint64_t limits = 0;
    /// Server incarnations that are known to have ended.
    std::vector<ranges::server_instance> ended;
    /// Server incarnations that ended while they ran a request.
    std::vector<request_loss> losses;
    /// Suspect requests that a server has run to the end.
    std::vector<request_fingerprint> cleared;
    /// Version of the suspect requests that the host knows; 0 if it knows of none.
    std::uint64_t suspects = 0;
    /// Server incarnations that have stated that they are leaving, although their entries do not
    /// say so. Repeated in each report.
    std::vector<ranges::server_instance> leaving;
    /// Version of each service's owner table that the host has, as numbered by the coordinator; 0
    /// if it has none.
    std::map<service_id, std::uint64_t> owners;
    /// Term of the last answer, to which the versions in `owners` belong.
    std::uint64_t term = 0;
    /// `report_answer::stamp` of the last answer; 0 if there is none.
    std::uint64_t answer_stamp = 0;
    /// A coordinator may have granted longer leases because this host knew of an outage of the
    /// store, see `leadership::was_told_of_outage`.
    bool told_of_outage = false;
    /// Store version up to which the host's directory is complete; its number is 0 if
    /// it has no directory.
    store_version servers;
    /// The coordinator answers without holding the report.
    bool at_once = false;
};

/// Difference between a host's owner table and the current one.
struct owners_update {
    /// Numbered by the coordinator; restarts with each term.
    std::uint64_t version = 0;
    /// `ranges` covers all keys; otherwise it holds only the changes since the host's version.
    bool whole = false;
    std::vector<ranges::range_owner> ranges;
};

/// Allowance of requests to a cold server that a host may use.
struct lent_allowance {
    ranges::server_instance server;
    double requests_per_s = 0;
    /// Counted from when the host sent the report.
    milliseconds valid_for{0};
};

/// Answer to a `host_report`.
struct report_answer {
    /// This host is the coordinator; without it, `term`, `owners` and `servers` are not set.
    bool coordinating = false;
    /// A takeover is in progress: the host is writing its term or reading the owners.
    bool pending = false;
    /// The store is reachable from this host.
    bool has_store = true;
    /// Version of the newest configuration row that this host has read; its number is 0 if it has
    /// read none.
    store_version catalogue;
    /// Time since the store last told this host that there was no newer one; empty if it did not,
    /// or in answers of earlier releases.
    std::optional<milliseconds> catalogue_age;
    /// Time since the store last told this host that it holds the term; empty as above.
    std::optional<milliseconds> term_age;
    /// Number of hosts that have reported lately, including this one.
    int hosts = 1;
    std::uint64_t term = 0;
    /// When the answer was made, for the next report; 0 in answers of earlier releases. Proves to
    /// the coordinator that the host still followed it then.
    std::uint64_t stamp = 0;
    /// All that the coordinator knows of evacuations; empty if the host knows as much.
    std::vector<evacuation_change> evacuations;
    /// Allowances of cold servers that this host holds.
    std::vector<lent_allowance> loans;
    /// Some other hosts, which may know the next coordinator when this one is lost and the store
    /// does not answer. Empty if the host has these contacts.
    std::vector<wire::endpoint> contacts;
    std::map<service_id, owners_update> owners;
    /// Empty if there are no limits and the host has none, or if the coordinator does not know the
    /// load yet.
    std::optional<limits_update> limits;
    /// Empty if the host knows them, or if there are none and it knows of none.
    std::optional<suspects_update> suspects;
    /// Servers that changed after the store version in the report; empty if the coordinator has no
    /// recent data from the store or the version is older than its history.
    std::optional<directory_update> servers;
};

/// Reports and answers are encoded as JSON. `decode` returns false if a required field is missing
/// or malformed; its output is then unspecified.
std::string encode(const host_report& report);
bool decode(std::string_view text, host_report& report);
std::string encode(const report_answer& answer);
bool decode(std::string_view text, report_answer& answer);
/// A row of the store that one host gives to another: its key, version and value.
std::string encode(const stored_row& row);
bool decode(std::string_view text, stored_row& row);

/// Tables in the store: the coordinator's term, which all hosts watch, and what only the
/// coordinator reads and writes: the owners of keys, the requests that are refused because servers
/// ended under them, and the hosts that are counted to tell which coordinator most of them follow.
inline constexpr std::string_view term_table = "greengagechute-term";
inline constexpr std::string_view owners_table = "greengagechute-owners";
inline constexpr std::string_view quarantine_table = "greengagechute-quarantine";
inline constexpr std::string_view members_table = "greengagechute-members";

/// Targets of requests between hosts.
inline constexpr std::string_view report_target = "/coordination/report";
inline constexpr std::string_view term_target = "/coordination/term";
inline constexpr std::string_view catalogue_target = "/coordination/configuration";

/// Delay before this host takes over, which gives hosts with more capacity the first chance: 0 with
/// at least `full_capacity`, up to `max_takeover_delay` without any.
milliseconds takeover_delay(const coordinator_settings& settings);

/// Functions that a `coordinator` calls. All must be set.
struct coordinator_handlers {
    /// The owners of a service's keys have changed; the table is complete.
    std::function<void(const service_id&, ranges::range_table)> owners_changed;
    /// The limits are known anew.
    std::function<void(const limits_update&)> limits_changed;
    /// Requests under which servers have ended are known anew.
    std::function<void(const suspects_update&)> suspects_changed;
    /// A report got no answer: what it said of losses is unknown to the coordinator.
    std::function<void(const std::vector<request_loss>&)> losses_unreported;
    /// A remote coordinator has sent changes of servers.
    std::function<void(const directory_update&)> servers_relayed;
    /// A remote coordinator has named the newest configuration row that it has read.
    /// @param age  time since the store told it that there was no newer one; empty if unknown
    std::function<void(const store_version&, std::optional<milliseconds> age)> catalogue_named;
    /// The coordinator that this host knows has confirmed its term.
    /// @param age  time since the store told it so
    std::function<void(milliseconds age)> term_confirmed;
    /// The store has stated an era above the known one.
    std::function<void(std::uint64_t)> store_era_changed;
    /// A remote coordinator has told of evacuations.
    std::function<void(const std::vector<evacuation_change>&)> evacuations_relayed;
    /// This host holds allowances of cold servers.
    /// @param from  time from which they are valid
    std::function<void(const std::vector<lent_allowance>&, time_point from)> allowances_lent;
    /// The number of live hosts is known anew.
    std::function<void(int)> hosts_counted;
    /// Returns what this host has observed since the last call.
    std::function<host_report()> collect_report;
};

/// When the store last told this host that it knows the newest content of its tables; empty for a
/// table that it does not follow in the store, or whose last call failed.
struct store_confirmations {
    /// The servers. Bounds the age of relayed data; without it, this host relays none.
    std::optional<time_point> servers;
    std::optional<time_point> catalogue;
    std::optional<time_point> term;
};

/// Leader election and key ownership. One host is the coordinator: it assigns the keys of divided
/// services to servers and manages their leases. A row of the store holds its term. The other hosts
/// report to it and receive owners and servers with its answers; if it fails, one of them takes
/// over.
class coordinator {
public:
    /// @param servers  must outlive the coordinator, like the other references
    /// @param seed     seeds the random delays and this process's identity in the term
    coordinator(wire::event_loop& loop, wire::client& peers, table_store& store,
                order_sender& orders, const directory& servers, telemetry::logger& log,
                coordinator_settings settings, coordinator_handlers handlers, std::uint64_t seed);
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;
    ~coordinator();

    void start();
    /// Passes on rows of `term_table`.
    /// @param whole  `content` holds all rows, not only changes
    void on_term(const table_content& content, bool whole);
    void set_catalogue(std::shared_ptr<const catalogue> content);
    /// To be called after each change of the directory.
    void on_directory_changed();
    void set_store_reachable(bool reachable);
    /// Replaces what this host knows of evacuated data centres.
    void set_evacuations(const evacuation_table& table);
    /// Sets the version of the newest configuration row that this host has read.
    void set_catalogue_version(const store_version& version);
    void set_confirmations(const store_confirmations& confirmed);
    /// Sets for how long changes of servers are batched before held reports are answered with them.
    void set_batch_delay(milliseconds pause);
    using answer_handler = std::function<void(const report_answer&)>;
    /// Handles a report of another host. Calls `answer` when owners or servers change, at the
    /// latest at the first tick after `max_report_hold`; at once if this host isn't coordinating
    /// and no takeover is in progress.
    void on_report(const host_report& report, answer_handler answer, time_point now);
    /// The coordinator's term that this host knows, for hosts that the store does not answer; empty
    /// if it knows none.
    std::string known_term() const;
    /// Asks the coordinator for the newest configuration row that it has read, for a host that the
    /// store does not answer.
    /// @param done  called with the row, or without one if there is no answer
    void read_catalogue(std::function<void(std::optional<stored_row>)> done) const;
    /// Gives up the term before a planned shutdown. This host doesn't take over again.
    void resign();
    /// Whether this host is the coordinator.
    bool coordinating() const;

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::gateway
