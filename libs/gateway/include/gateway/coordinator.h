#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/balancer.h"
#include "gateway/catalogue.h"
#include "gateway/directory.h"
#include "gateway/store.h"
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

/// What a host can do in a second.
struct host_power {
    /// In cores.
    double processor_share = 1;
    double link_mbps = 1'000;
};

struct coordinator_settings {
    host_id host;
    /// Where the other hosts reach this one.
    wire::endpoint address;
    host_power power;
    /// A new coordinator sends each host the owners, 4 MB in all at 87 hosts and 230 servers,
    /// within a third of a second, and encodes them: less than what is left of a lease by then.
    host_power enough_power{0.2, 100};
    /// A host without any power lets others follow a lost coordinator for this long: the hosts
    /// notice the loss within one kept report of each other.
    milliseconds longest_restraint{200};
    /// The coordinator keeps a report until owners change, at most for this long; it is missed
    /// after two reports without an answer.
    milliseconds report_kept{400};
    /// Pause between an answer and the next report.
    milliseconds report_pause{30};
    milliseconds report_timeout{700};
    /// After a missed report one is sent that is answered at once: a few round trips between
    /// regions. Both times and the takeover lie within what is left of a renewed lease.
    milliseconds probe_timeout{400};
    /// Pause after a report without an answer.
    milliseconds report_retry{250};
    /// After a coordinator's resignation the others try to follow within this time.
    milliseconds takeover_spread{60};
    /// Hosts wait this long for a holder of the term that does not coordinate yet: three calls to
    /// a store that is a hundred times as slow as usual.
    milliseconds longest_takeover{1'500};
    /// The coordinator looks for due orders at this interval.
    milliseconds tick{50};
    milliseconds balance_every{500};
    milliseconds order_timeout{600};
    /// After an outage of the store, entries of servers are back within about two seconds, and a
    /// server that leaves says so; until then a refused connection is no sign of a crash.
    milliseconds steady_after{4'000};
    /// A coordinator without the store and without reports from others for this long stops
    /// renewing leases: another one may have taken its place.
    milliseconds isolation{2'000};
    /// What a host knows of the servers through the coordinator counts for this long: a wait in the
    /// store, a report that is kept, and their ways.
    milliseconds relay_lapse{1'200};
    ranges::lease_settings keeper;
};

/// What a host tells the coordinator.
struct host_report {
    host_id host;
    std::map<service_id, std::vector<ranges::key_position>> keys;
    std::map<service_id, std::map<server_id, speed_sample>> speeds;
    /// Lives of servers that have certainly ended.
    std::vector<ranges::server_instance> ended;
    /// Versions of the owners' tables that the host has, by the coordinator's count; 0 is none.
    std::map<service_id, std::uint64_t> owners;
    /// Term in which they were counted.
    std::uint64_t term = 0;
    /// Version of the store up to which the host knows the servers; 0 if it does not.
    std::uint64_t servers = 0;
    /// The answer is not kept until owners change.
    bool at_once = false;
};

/// Owners that a host lacks.
struct owners_update {
    /// By the coordinator's count, which starts anew with each term.
    std::uint64_t version = 0;
    /// `ranges` covers all keys; otherwise it holds the changes since the host's version.
    bool whole = false;
    std::vector<ranges::range_owner> ranges;
};

/// What the coordinator answers.
struct report_answer {
    bool coordinating = false;
    /// It has written its term, or tries to, and will coordinate once it has read the owners.
    bool pending = false;
    /// The coordinator reaches the store.
    bool has_store = true;
    /// Hosts that report to it, itself included.
    int hosts = 1;
    std::uint64_t term = 0;
    std::map<service_id, owners_update> owners;
    /// Servers that changed after the version of the report; empty if the coordinator does not
    /// follow the store, or cannot tell.
    std::optional<directory_update> servers;
};

std::string encode(const host_report& report);
bool decode(std::string_view text, host_report& report);
std::string encode(const report_answer& answer);
bool decode(std::string_view text, report_answer& answer);

/// The project's tables in the store: the coordinator's term, which all hosts watch, and the
/// owners, which only a new coordinator reads.
inline constexpr std::string_view term_table = "greengagechute-term";
inline constexpr std::string_view owners_table = "greengagechute-owners";

/// Time for which a host leaves it to hosts with more power to take over.
milliseconds takeover_restraint(const coordinator_settings& settings);

/// One of the hosts assigns the keys of divided services and keeps their leases; its term stands in
/// a row of the store. The others report to it, learn owners and servers from its answers, and one
/// of them takes over when it is lost.
class coordinator {
public:
    using owners_handler = std::function<void(const service_id&, ranges::range_table)>;
    /// Called for each answer of another coordinator that follows the servers.
    using servers_handler = std::function<void(const directory_update&)>;
    /// What this host has seen since the last call.
    using report_source = std::function<host_report()>;

    coordinator(wire::event_loop& loop, wire::client& peers, table_store& store,
                server_orders& orders, const directory& servers, telemetry::logger& log,
                coordinator_settings settings, owners_handler owners, servers_handler relayed,
                report_source reports, std::function<void(int)> hosts, std::uint64_t seed);
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;
    ~coordinator();

    void start();
    /// Rows of the term's table.
    void on_term(const table_content& content, bool whole);
    void set_catalogue(std::shared_ptr<const catalogue> content);
    /// The directory has changed.
    void on_servers();
    void set_store_reachable(bool reachable);
    /// When the store last told this host of the servers, so that it can tell others; empty if it
    /// does not follow them in the store.
    void set_servers_heard(std::optional<time_point> when);
    /// Changes of servers are gathered for this long before kept reports are answered with them.
    void set_gather(milliseconds pause);
    using answer_handler = std::function<void(const report_answer&)>;
    /// Answers when owners change, or after `report_kept`.
    void on_report(const host_report& report, answer_handler answer, time_point now);
    /// Gives the term up, for a planned end of this process.
    void resign();
    bool coordinating() const;

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::gateway
