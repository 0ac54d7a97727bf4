#include "base/hash.h"
#include "coordinator_state.h"

#include <algorithm>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Number of other hosts that each host knows.
constexpr std::size_t max_contacts = 3;
constexpr int max_missed_reports = 2;
/// Weight of one request in the exponential moving average of a server's service time, and the
/// largest weight of all requests in a report.
constexpr double sample_weight = 0.03;
constexpr double max_report_weight = 0.3;

/// Returns the place of the host, or that of the next one.
template <typename list>
auto find_host(list& hosts, const host_id& wanted) {
    return std::lower_bound(
        hosts.begin(), hosts.end(), wanted,
        [](const auto& entry, const host_id& host) { return entry.first < host; });
}

/// 0 for no contacts.
std::uint64_t hash_of(const std::vector<wire::endpoint>& contacts) {
    std::uint64_t hash = 0;
    for (const wire::endpoint& contact : contacts) {
        hash = hash64(contact.ip + ":" + std::to_string(contact.port), hash);
    }
    return hash;
}

}  // namespace

void coordinator::state::schedule_report(milliseconds pause) {
    // Jitter, so that the hosts do not all notice a lost coordinator at the same moment.
    const double spread = 0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(this->random);
    this->loop.call_after(
        milliseconds(static_cast<std::int64_t>(static_cast<double>(pause.count()) * spread)),
        [this] { this->report(); });
}

void coordinator::state::report() {
    if (!this->leading && !this->taking_over && this->table_loaded && this->servers.loaded() &&
        (!this->term || !this->term->address || this->term->host.empty() ||
         this->term->host == this->identity)) {
        // This host holds the term without coordinating if it has stepped down, or if a takeover
        // was stored although it seemed to fail.
        this->on_coordinator_lost("vacant");
    }
    // A takeover by a host that the store does not answer fails only after seconds.
    const bool takes_over = this->taking_over && !this->term_from_host;
    if (this->leading || takes_over || !this->table_loaded || !this->servers.loaded() ||
        !this->term || !this->term->address || this->term->host == this->identity) {
        this->schedule_report(this->settings.report_retry_delay);
        return;
    }
    host_report content = this->handlers.collect_report();
    content.host = this->settings.host;
    content.address = this->settings.address;
    content.data_centre = this->settings.data_centre;
    content.evacuations = this->evacuations.version;
    content.contacts = hash_of(this->contacts);
    content.term = this->known_term;
    content.answer_stamp = this->known_stamp;
    content.told_of_outage = this->told_of_outage(wire::event_loop::now());
    content.at_once = this->missed_reports > 0;
    content.owners = this->known_versions;
    content.servers = this->servers.version();
    content.limits = this->known_limits;
    content.suspects = this->known_suspects;
    wire::request message;
    message.method = "POST";
    message.target = std::string(report_target);
    message.headers.push_back({"Host", this->term->address->ip});
    message.body = encode(content);
    wire::call_options options;
    options.timeout =
        content.at_once ? this->settings.probe_timeout : this->settings.report_timeout;
    options.connect_timeout = options.timeout;
    this->peers.send(*this->term->address, message, options,
                     [this, number = this->term->number, asked_at = wire::event_loop::now(),
                      losses = std::move(content.losses)](const wire::call_result& outcome) {
                         report_answer answer;
                         const bool answered = !outcome.error && outcome.message.code == http_ok &&
                                               decode(outcome.message.body, answer);
                         if ((!answered || !answer.coordinating) && !losses.empty()) {
                             this->handlers.losses_unreported(losses);
                         }
                         const bool first_miss = !answered && this->missed_reports == 0;
                         this->schedule_report((answered && answer.coordinating) || first_miss
                                                   ? this->settings.report_pause
                                                   : this->settings.report_retry_delay);
                         if (this->leading || !this->term || this->term->number != number) {
                             return;
                         }
                         if (!answered) {
                             ++this->missed_reports;
                             if (outcome.error == wire::wire_errc::refused ||
                                 this->missed_reports >= max_missed_reports) {
                                 this->on_report_unanswered(outcome.error.message(), asked_at);
                             }
                             return;
                         }
                         this->missed_reports = 0;
                         this->store_answered_at.reset();
                         if (!answer.coordinating) {
                             this->on_not_coordinating(answer.pending, wire::event_loop::now());
                             return;
                         }
                         this->pending_since.reset();
                         this->on_answer(answer, asked_at);
                     });
}

/// Handles that the coordinator does not answer. If the store has not answered this host either, it
/// is this host that may have been cut off: it takes over only if a report fails that was sent
/// after the store had answered again. Otherwise, a commit sent at the end of a partition would
/// replace a coordinator that all others follow.
/// @param asked_at  when the report was sent
void coordinator::state::on_report_unanswered(std::string_view reason, time_point asked_at) {
    if (this->store_reachable ||
        (this->store_answered_at && asked_at >= *this->store_answered_at)) {
        this->on_coordinator_lost(reason);
        return;
    }
    this->ask_contacts(0);
    this->read_term(call_connection::fresh, [this](bool done) {
        if (done && !this->store_answered_at) {
            this->store_answered_at = wire::event_loop::now();
        }
    });
}

/// Handles an answer of a term holder that does not coordinate, or not yet.
void coordinator::state::on_not_coordinating(bool pending, time_point now) {
    if (pending && !this->pending_since) {
        this->pending_since = now;
    }
    if (pending && now - *this->pending_since < this->settings.takeover_timeout) {
        return;
    }
    this->pending_since.reset();
    this->on_coordinator_lost("not coordinating");
}

/// @param asked_at  when the report was sent
void coordinator::state::on_answer(const report_answer& answer, time_point asked_at) {
    this->handlers.hosts_counted(answer.hosts);
    const time_point now = wire::event_loop::now();
    if (answer.term != this->known_term) {
        this->known_term = answer.term;
        this->known_versions.clear();
    }
    this->known_stamp = answer.stamp;
    if (!answer.has_store) {
        this->told_of_outage_at = now;
    }
    if (!answer.evacuations.empty()) {
        this->handlers.evacuations_relayed(answer.evacuations);
    }
    if (answer.servers) {
        // Apply servers before owners, which may refer to new servers.
        this->handlers.servers_relayed(*answer.servers);
    }
    if (!answer.loans.empty()) {
        this->handlers.allowances_lent(answer.loans, asked_at);
    }
    for (const auto& [service, update] : answer.owners) {
        ranges::range_table& known = this->known_owners[service];
        if (update.whole) {
            known.ranges = update.ranges;
        } else if (!known.ranges.empty()) {
            known = ranges::with_changes(known, update.ranges);
        } else {
            continue;
        }
        this->known_versions[service] = update.version;
        telemetry::log_info(this->log, "owners_learned",
                            {{"service", service.value()},
                             {"term", answer.term},
                             {"version", update.version},
                             {"changed", update.ranges.size()},
                             {"ranges", known.ranges.size()}});
        this->handlers.owners_changed(service, known);
    }
    if (!answer.contacts.empty()) {
        this->contacts = answer.contacts;
    }
    if (answer.suspects) {
        this->known_suspects = answer.suspects->version;
        merge(this->suspects, *answer.suspects, now);
        this->handlers.suspects_changed(*answer.suspects);
    }
    if (answer.limits) {
        this->known_limits = answer.limits->limits.empty() ? 0 : answer.limits->version;
        this->handlers.limits_changed(*answer.limits);
    }
    if (answer.catalogue.number != 0) {
        this->handlers.catalogue_named(answer.catalogue, answer.catalogue_age);
    }
    if (answer.term_age && this->term && answer.term == this->term->number) {
        this->handlers.term_confirmed(*answer.term_age);
    }
    if (answer.has_store || !this->store_reachable) {
        // If this host does not reach the store either, it cannot take over, and the coordinator
        // may regain access at the same time.
        this->coordinator_without_store = false;
    } else if (!this->coordinator_without_store) {
        this->coordinator_without_store = true;
        this->coordinator_without_store_since = now;
    } else if (now - this->coordinator_without_store_since > this->settings.isolation_timeout / 2 &&
               (!this->confirmed.term ||
                *this->confirmed.term >= this->coordinator_without_store_since)) {
        this->coordinator_without_store = false;
        this->on_coordinator_lost("store not reachable");
    }
}

/// Other hosts that the host may ask for the coordinator, at equal distances in the order of their
/// ids, so that few of them share a data centre.
std::vector<wire::endpoint> coordinator::state::contacts_for(const host_id& host) const {
    const auto place = find_host(this->host_addresses, host);
    const bool reports_itself = place != this->host_addresses.end() && place->first == host;
    const std::size_t others = this->host_addresses.size() - (reports_itself ? 1 : 0);
    const std::size_t count = std::min(max_contacts, others);
    const auto first =
        static_cast<std::size_t>(place - this->host_addresses.begin()) + (reports_itself ? 1 : 0);
    std::vector<wire::endpoint> chosen;
    for (std::size_t number = 0; number < count; ++number) {
        const std::size_t index = first + number * others / count;
        chosen.push_back(this->host_addresses[index % this->host_addresses.size()].second);
    }
    return chosen;
}

/// Asks the contacts, one after the other, for a later term than the known one.
void coordinator::state::ask_contacts(std::size_t next) {
    if (next == 0 && this->asking_contacts) {
        return;
    }
    this->asking_contacts = next < this->contacts.size() && !this->may_act() && !this->resigned;
    if (!this->asking_contacts) {
        return;
    }
    wire::request message;
    message.method = "GET";
    message.target = std::string(term_target);
    message.headers.push_back({"Host", this->contacts[next].ip});
    wire::call_options options;
    options.timeout = this->settings.probe_timeout;
    options.connect_timeout = options.timeout;
    this->peers.send(this->contacts[next], message, options,
                     [this, next](const wire::call_result& outcome) {
                         const auto read = !outcome.error && outcome.message.code == http_ok
                                               ? decode_term(outcome.message.body)
                                               : std::nullopt;
                         const std::uint64_t known = this->term ? this->term->number : 0;
                         if (read) {
                             this->on_contact_answer(*read);
                         }
                         const bool learned = this->term && this->term->number > known;
                         this->ask_contacts(learned ? this->contacts.size() : next + 1);
                     });
}

/// Follows a coordinator that another host knows, if its term is later than the known one. The
/// store decides who holds the term; until it answers, this host could only follow a deposed
/// coordinator.
void coordinator::state::on_contact_answer(const term_content& read) {
    const std::uint64_t known = this->term ? this->term->number : 0;
    const std::uint64_t era = read.era.value_or(0);
    if (this->may_act() || this->resigned || !read.address || read.host.empty() ||
        read.host == this->identity ||
        std::pair(era, read.number) <= std::pair(this->term_era(), known)) {
        return;
    }
    this->step_down("another host knows a later term");
    telemetry::log_info(this->log, "coordinator_named_by_host",
                        {{"term", read.number}, {"known_term", known}, {"era", era}});
    this->term = read;
    this->term_from_host = true;
    this->missed_reports = 0;
    this->pending_since.reset();
    this->coordinator_without_store = false;
}

void coordinator::state::apply_report(const host_report& report, time_point now) {
    for (const ranges::server_instance& life : report.ended) {
        this->ended.insert(life);
        for (auto& [service, own] : this->managed) {
            own.keeper.set_instance_ended(life, now);
        }
    }
    for (const ranges::server_instance& life : report.leaving) {
        this->leaving[life] = now;
    }
    if (record_report(this->suspects, report.losses, report.cleared, now)) {
        this->quarantine_outdated = true;
        this->suspects_changed(now);
    }
    for (const auto& [service, keys] : report.keys) {
        const auto found = this->managed.find(service);
        if (found != this->managed.end()) {
            for (const ranges::key_position key : keys) {
                found->second.load.add(key);
                found->second.recent_load.add(key);
            }
        }
    }
    for (const auto& [service, queues] : report.queues) {
        const auto found = this->managed.find(service);
        if (found == this->managed.end()) {
            continue;
        }
        for (const auto& [server, sample] : queues) {
            queue_sample& known = found->second.queues[server];
            known.sum += sample.sum;
            known.count += sample.count;
        }
    }
    for (const auto& [service, samples] : report.speeds) {
        const auto found = this->managed.find(service);
        if (found == this->managed.end()) {
            continue;
        }
        for (const auto& [server, sample] : samples) {
            if (sample.count <= 0) {
                continue;
            }
            const double mean = sample.sum_log_ms / sample.count;
            const auto [known, added] = found->second.speeds.emplace(server, mean);
            const double alpha = std::min(max_report_weight, sample.count * sample_weight);
            known->second += alpha * (mean - known->second);
        }
    }
}

/// Number of hosts that have reported lately, including this one.
int coordinator::state::live_hosts(time_point now) const {
    return 1 + static_cast<int>(std::count_if(
                   this->reports.begin(), this->reports.end(),
                   [now](const auto& entry) { return now - entry.second < report_max_age; }));
}

report_answer coordinator::state::make_answer(const host_report& report, time_point now) const {
    report_answer answer;
    answer.coordinating = this->leading;
    answer.pending = this->taking_over && !this->leading;
    answer.has_store = this->store_ok && this->store_reachable;
    answer.hosts = this->live_hosts(now);
    if (!this->leading) {
        return answer;
    }
    answer.term = this->term->number;
    // Hosts that get a stamp from within an outage must know of the outage.
    answer.has_store = answer.has_store && !this->authority.outage_since;
    answer.stamp = static_cast<std::uint64_t>(
        std::chrono::floor<milliseconds>(now - this->coordinating_since).count());
    const auto age_of = [now](std::optional<time_point> when) {
        return when ? std::optional(std::chrono::ceil<milliseconds>(now - *when)) : std::nullopt;
    };
    answer.catalogue = this->catalogue_version;
    answer.catalogue_age = age_of(this->confirmed.catalogue);
    answer.term_age = age_of(this->confirmed.term);
    if (this->knows_limits(now)) {
        limits_update limits = this->current_limits();
        if (!limits.limits.empty() || report.limits != 0) {
            answer.limits = std::move(limits);
        }
    }
    if (this->lacks_evacuations(report)) {
        answer.evacuations = all_changes(this->evacuations);
    }
    answer.loans = this->allowances_of(report.host, now);
    std::vector<wire::endpoint> known_hosts = this->contacts_for(report.host);
    if (report.contacts != hash_of(known_hosts)) {
        answer.contacts = std::move(known_hosts);
    }
    if (has_news(this->suspects, report.suspects)) {
        answer.suspects = current_suspects(this->suspects, now);
    }
    if (this->can_relay_directory(report, now)) {
        answer.servers = this->servers.changes_since(report.servers, now);
        if (answer.servers) {
            answer.servers->age = std::chrono::ceil<milliseconds>(now - *this->confirmed.servers);
        }
    }
    for (const auto& [service, own] : this->managed) {
        const auto has = report.owners.find(service);
        const std::uint64_t version =
            report.term == answer.term && has != report.owners.end() ? has->second : 0;
        if (version == own.version || own.version == 0) {
            continue;
        }
        owners_update& update = answer.owners[service];
        update.version = own.version;
        const std::uint64_t missing = own.version - std::min(version, own.version);
        if (this->has_inherited_owners(report, service)) {
            update.ranges = ranges::changes_between(this->inherited_owners.at(service), own.routes);
            continue;
        }
        if (version == 0 || version > own.version || missing > own.history.size()) {
            update.whole = true;
            update.ranges = own.routes.ranges;
            continue;
        }
        std::vector<ranges::key_range> touched;
        for (std::size_t index = own.history.size() - missing; index < own.history.size();
             ++index) {
            for (const ranges::range_owner& entry : own.history[index]) {
                touched.push_back(entry.keys);
            }
        }
        // Later changes override earlier ones: send the current owners of all changed ranges.
        for (const ranges::range_owner& entry : own.routes.ranges) {
            const bool overlaps = std::any_of(
                touched.begin(), touched.end(), [&entry](const ranges::key_range& keys) {
                    return keys.first <= entry.keys.last && entry.keys.first <= keys.last;
                });
            if (overlaps) {
                update.ranges.push_back(entry);
            }
        }
    }
    return answer;
}

/// Whether the reporting host has the owners that this host had when it became the coordinator.
bool coordinator::state::has_inherited_owners(const host_report& report,
                                              const service_id& service) const {
    const auto theirs = report.owners.find(service);
    const auto ours = this->inherited_versions.find(service);
    return report.term == this->inherited_term && theirs != report.owners.end() &&
           ours != this->inherited_versions.end() && theirs->second == ours->second;
}

/// Whether the host knows less of evacuations than this one. Hosts of earlier releases, which state
/// no data centre, do not know what an evacuation is.
bool coordinator::state::lacks_evacuations(const host_report& report) const {
    return !report.data_centre.value().empty() && report.evacuations < this->evacuations.version;
}

/// Whether this host's directory is recent enough to relay, and the reporting host has one.
bool coordinator::state::can_relay_directory(const host_report& report, time_point now) const {
    return report.servers.number != 0 && this->confirmed.servers &&
           now - *this->confirmed.servers < this->settings.relay_max_age;
}

/// Whether the host lacks changes of owners, or changes of servers whose batch delay has passed.
bool coordinator::state::is_outdated(const host_report& report, time_point now) const {
    if (report.servers < this->announced_version && this->can_relay_directory(report, now)) {
        return true;
    }
    if (has_news(this->suspects, report.suspects) || this->lacks_evacuations(report)) {
        return true;
    }
    if ((this->has_limits() || report.limits != 0) && this->knows_limits(now) &&
        report.limits != this->limits_version) {
        return true;
    }
    return std::any_of(
        this->managed.begin(), this->managed.end(), [this, &report](const auto& entry) {
            const auto has = report.owners.find(entry.first);
            const std::uint64_t version =
                report.term == this->term->number && has != report.owners.end() ? has->second : 0;
            return entry.second.version != 0 && version != entry.second.version;
        });
}

/// Answers the held reports of hosts that lack changes, and those that were held long enough.
/// @param all  answer all held reports
void coordinator::state::answer_held_reports(bool all, time_point now) {
    std::vector<held_report> remaining;
    std::vector<held_report> due;
    for (held_report& one : this->held_reports) {
        const bool waits = this->leading ? !this->is_outdated(one.report, now) : this->taking_over;
        (all || now >= one.until || !waits ? due : remaining).push_back(std::move(one));
    }
    this->held_reports = std::move(remaining);
    // One answer at a time: those to hosts that know no owners hold the whole table each.
    for (const held_report& one : due) {
        one.answer(this->make_answer(one.report, now));
    }
}

void coordinator::on_report(const host_report& report, answer_handler answer, time_point now) {
    state& own = *this->implementation;
    if (own.leading) {
        own.reports[report.host] = now;
        own.note_follower(report, now);
        if (report.address) {
            const auto place = find_host(own.host_addresses, report.host);
            if (place != own.host_addresses.end() && place->first == report.host) {
                place->second = *report.address;
            } else {
                own.host_addresses.insert(place, {report.host, *report.address});
            }
        }
        if (!report.data_centre.value().empty()) {
            own.host_data_centres[report.host] = report.data_centre;
        }
        own.apply_report(report, now);
    }
    own.held_reports.push_back(
        {report, std::move(answer),
         now + (report.at_once ? milliseconds{0} : own.settings.max_report_hold)});
    own.held_reports.back().report.keys.clear();
    own.held_reports.back().report.speeds.clear();
    own.answer_held_reports(!own.leading && !own.taking_over, now);
}

void coordinator::read_catalogue(std::function<void(std::optional<stored_row>)> done) const {
    state& own = *this->implementation;
    if (own.leading || !own.term || !own.term->address || own.term->host == own.identity) {
        done(std::nullopt);
        return;
    }
    wire::request message;
    message.method = "GET";
    message.target = std::string(catalogue_target);
    message.headers.push_back({"Host", own.term->address->ip});
    wire::call_options options;
    options.timeout = own.settings.report_timeout;
    options.connect_timeout = options.timeout;
    own.peers.send(*own.term->address, message, options,
                   [done = std::move(done)](const wire::call_result& outcome) {
                       stored_row row;
                       const bool read = !outcome.error && outcome.message.code == http_ok &&
                                         decode(outcome.message.body, row);
                       done(read ? std::optional(std::move(row)) : std::nullopt);
                   });
}

}  // namespace greengagechute::gateway
