#include "gateway/coordinator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Logarithms of service times are sent in hundredths, as integers.
constexpr double log_ms_scale = 100.0;
/// Fractions are sent as integers.
constexpr std::uint64_t fraction_scale = 10'000;
/// Highest number of samples that is believed.
constexpr std::int64_t max_samples = 1'000'000;
/// Highest number of losses of one request that is believed.
constexpr std::int64_t max_losses = 1'000;
/// Rates are sent in thousandths of a request per second, as integers.
constexpr double rate_scale = 1'000;
/// Longest loan that is believed.
constexpr milliseconds max_loan = std::chrono::seconds{5};
constexpr std::int64_t max_rate = 1'000'000'000;
/// Number of fields of an encoded change: removal of a server, and registration.
constexpr std::size_t removal_fields = 2;
constexpr std::size_t entry_fields = 10;
/// Longer ages have the same effect, and could overflow when they are subtracted from a time.
constexpr milliseconds max_age = std::chrono::hours{24};

/// Reads an integer from 0 and lowers it to the bound if it is larger. Hosts that run an earlier
/// release send on what they read without bounds.
std::int64_t bounded(const nlohmann::json& number, std::int64_t highest) {
    return static_cast<std::int64_t>(
        std::min(number.get<std::uint64_t>(), static_cast<std::uint64_t>(highest)));
}

nlohmann::json encode_change(const server_change& change) {
    nlohmann::json fields = {change.id.value(), change.version.number};
    if (change.entry) {
        const server_entry& entry = *change.entry;
        fields.push_back(entry.life.start_time_ms);
        fields.push_back(entry.service.value());
        fields.push_back(entry.address.ip);
        fields.push_back(entry.address.port);
        fields.push_back(entry.data_centre.value());
        fields.push_back(entry.slots);
        fields.push_back(entry.draining);
        fields.push_back(entry.warmup_left.count());
    }
    return fields;
}

std::optional<server_change> decode_change(const nlohmann::json& fields) {
    if (!fields.is_array() || fields.size() < removal_fields || !fields[0].is_string() ||
        !fields[1].is_number_unsigned()) {
        return std::nullopt;
    }
    server_change change;
    change.id = server_id(fields[0].get<std::string>());
    change.version.number = fields[1].get<std::uint64_t>();
    if (fields.size() == removal_fields) {
        return change;
    }
    constexpr std::uint64_t last_port = 65'535;
    if (fields.size() != entry_fields || !fields[2].is_number_unsigned() ||
        !fields[3].is_string() || !fields[4].is_string() || !fields[5].is_number_unsigned() ||
        fields[5].get<std::uint64_t>() > last_port || !fields[6].is_string() ||
        !fields[7].is_number_unsigned() || !fields[8].is_boolean() ||
        !fields[9].is_number_unsigned()) {
        return std::nullopt;
    }
    server_entry entry;
    entry.life = {change.id, fields[2].get<std::uint64_t>()};
    entry.service = service_id(fields[3].get<std::string>());
    entry.address = {fields[4].get<std::string>(), fields[5].get<std::uint16_t>()};
    entry.data_centre = data_centre_id(fields[6].get<std::string>());
    entry.slots = static_cast<int>(bounded(fields[7], max_server_slots));
    entry.draining = fields[8].get<bool>();
    entry.warmup_left = milliseconds(bounded(fields[9], max_warmup.count()));
    change.entry = std::move(entry);
    return change;
}

/// 0 if there is no such field: hosts that run an earlier release send neither eras nor sequences.
std::uint64_t number_or_zero(const nlohmann::json& parsed, const std::string& name) {
    const auto found = parsed.find(name);
    return found != parsed.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool decode_directory_update(const nlohmann::json& parsed, directory_update& update) {
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed["version"].is_number_unsigned() || !parsed.contains("changes") ||
        !parsed["changes"].is_array() || !parsed.contains("age") ||
        !parsed["age"].is_number_unsigned()) {
        return false;
    }
    update.age = milliseconds(bounded(parsed["age"], max_age.count()));
    update.version = {number_or_zero(parsed, "era"), number_or_zero(parsed, "version")};
    if (parsed.contains("regained_before")) {
        if (!parsed["regained_before"].is_number_unsigned()) {
            return false;
        }
        update.regained_before = milliseconds(bounded(parsed["regained_before"], max_age.count()));
    }
    for (const nlohmann::json& fields : parsed["changes"]) {
        auto change = decode_change(fields);
        if (!change) {
            return false;
        }
        change->version.era = update.version.era;
        if (change->entry && parsed.contains("sequences") && parsed["sequences"].is_object()) {
            change->entry->sequence = number_or_zero(parsed["sequences"], change->id.value());
        }
        update.changes.push_back(std::move(*change));
    }
    return true;
}

/// Reads samples, each a sum and a count, by service and server.
/// @param make  returns the sample for a sum (an integer) and a count (unsigned); empty if they are
///              out of range
/// @return      whether all are well formed
template <typename sample_type, typename make_sample>
bool decode_samples(const nlohmann::json& parsed,
                    std::map<service_id, std::map<server_id, sample_type>>& samples,
                    const make_sample& make) {
    if (!parsed.is_object()) {
        return false;
    }
    for (const auto& [service, servers] : parsed.items()) {
        if (!servers.is_object()) {
            return false;
        }
        for (const auto& [server, sample] : servers.items()) {
            if (!sample.is_array() || sample.size() != 2 || !sample[0].is_number_integer() ||
                !sample[1].is_number_unsigned()) {
                return false;
            }
            const std::optional<sample_type> read = make(sample[0], sample[1]);
            if (!read) {
                return false;
            }
            samples[service_id(service)][server_id(server)] = *read;
        }
    }
    return true;
}

std::string to_text(const wire::endpoint& address) {
    return address.ip + ":" + std::to_string(address.port);
}

/// False if there are contacts, and one is malformed.
bool decode_contacts(const nlohmann::json& parsed, std::vector<wire::endpoint>& contacts) {
    if (!parsed.contains("contacts")) {
        return true;
    }
    if (!parsed["contacts"].is_array()) {
        return false;
    }
    for (const nlohmann::json& text : parsed["contacts"]) {
        const auto address = text.is_string()
                                 ? wire::parse_endpoint(text.get<std::string>())
                                 : result<wire::endpoint>(wire::wire_errc::invalid_endpoint);
        if (!address) {
            return false;
        }
        contacts.push_back(*address);
    }
    return true;
}

/// False if there are losses, and one is malformed.
bool decode_losses(const nlohmann::json& parsed, std::vector<request_loss>& losses) {
    if (!parsed.contains("losses")) {
        return true;
    }
    if (!parsed["losses"].is_array()) {
        return false;
    }
    for (const nlohmann::json& row : parsed["losses"]) {
        if (!row.is_array() || row.size() != 3 || !row[0].is_number_unsigned() ||
            !row[1].is_string() || !row[2].is_number_unsigned()) {
            return false;
        }
        losses.push_back({request_fingerprint(row[0].get<std::uint64_t>()),
                          {server_id(row[1].get<std::string>()), row[2].get<std::uint64_t>()}});
    }
    return true;
}

/// False if there are fingerprints of that name, and one is malformed.
bool decode_fingerprints(const nlohmann::json& parsed, const char* name,
                         std::vector<request_fingerprint>& read) {
    if (!parsed.contains(name)) {
        return true;
    }
    if (!parsed[name].is_array()) {
        return false;
    }
    for (const nlohmann::json& value : parsed[name]) {
        if (!value.is_number_unsigned()) {
            return false;
        }
        read.emplace_back(value.get<std::uint64_t>());
    }
    return true;
}

bool decode_suspects(const nlohmann::json& parsed, suspects_update& update) {
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed["version"].is_number_unsigned() || !parsed.contains("requests") ||
        !parsed["requests"].is_array()) {
        return false;
    }
    update.version = parsed["version"].get<std::uint64_t>();
    for (const nlohmann::json& row : parsed["requests"]) {
        if (!row.is_array() || row.size() != 3 || !row[0].is_number_unsigned() ||
            !row[1].is_number_unsigned() || !row[2].is_number_unsigned()) {
            return false;
        }
        update.requests.push_back({request_fingerprint(row[0].get<std::uint64_t>()),
                                   static_cast<std::uint32_t>(bounded(row[1], max_losses)),
                                   milliseconds(bounded(row[2], max_age.count()))});
    }
    return decode_fingerprints(parsed, "cleared", update.cleared);
}

bool decode_evacuations(const nlohmann::json& parsed, std::vector<evacuation_change>& changes) {
    if (!parsed.is_array()) {
        return false;
    }
    for (const nlohmann::json& row : parsed) {
        if (!row.is_array() || row.size() != 4 || !row[0].is_string() || !row[1].is_boolean() ||
            !row[2].is_number_unsigned() || !row[3].is_number_unsigned()) {
            return false;
        }
        changes.push_back({data_centre_id(row[0].get<std::string>()),
                           row[1].get<bool>(),
                           {row[2].get<std::uint64_t>(), row[3].get<std::uint64_t>()}});
    }
    return true;
}

bool decode_loans(const nlohmann::json& parsed, std::vector<lent_allowance>& loans) {
    if (!parsed.is_array()) {
        return false;
    }
    for (const nlohmann::json& row : parsed) {
        if (!row.is_array() || row.size() != 4 || !row[0].is_string() ||
            !row[1].is_number_unsigned() || !row[2].is_number_unsigned() ||
            !row[3].is_number_unsigned()) {
            return false;
        }
        loans.push_back({{server_id(row[0].get<std::string>()), row[1].get<std::uint64_t>()},
                         static_cast<double>(bounded(row[2], max_rate)) / rate_scale,
                         milliseconds(bounded(row[3], max_loan.count()))});
    }
    return true;
}

bool decode_limits(const nlohmann::json& parsed, limits_update& update) {
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed["version"].is_number_unsigned() || !parsed.contains("services") ||
        !parsed["services"].is_object()) {
        return false;
    }
    update.version = parsed["version"].get<std::uint64_t>();
    for (const auto& [service, limits] : parsed["services"].items()) {
        if (!limits.is_array()) {
            return false;
        }
        for (const nlohmann::json& row : limits) {
            if (!row.is_array() || row.size() != 3 || !row[0].is_number_unsigned() ||
                !row[1].is_number_unsigned() || !row[2].is_number_unsigned()) {
                return false;
            }
            const auto first = row[0].get<std::uint64_t>();
            const auto last = row[1].get<std::uint64_t>();
            const auto fraction = row[2].get<std::uint64_t>();
            if (last < first || last > ranges::last_key || fraction == 0 ||
                fraction > fraction_scale) {
                return false;
            }
            update.limits[service_id(service)].push_back(
                {{static_cast<ranges::key_position>(first),
                  static_cast<ranges::key_position>(last)},
                 static_cast<double>(fraction) / fraction_scale});
        }
    }
    return true;
}

}  // namespace

std::string encode(const host_report& report) {
    nlohmann::json text;
    text["host"] = report.host.value();
    text["term"] = report.term;
    if (report.answer_stamp != 0) {
        text["answer_stamp"] = report.answer_stamp;
    }
    if (report.told_of_outage) {
        text["told_of_outage"] = true;
    }
    if (report.address) {
        text["address"] = to_text(*report.address);
    }
    if (!report.data_centre.value().empty()) {
        text["data_centre"] = report.data_centre.value();
    }
    if (report.evacuations.number != 0) {
        text["evacuations"] = report.evacuations.number;
        text["evacuations_era"] = report.evacuations.era;
    }
    if (report.contacts != 0) {
        text["contacts"] = report.contacts;
    }
    if (report.at_once) {
        text["at_once"] = true;
    }
    if (report.servers.number != 0) {
        text["servers"] = report.servers.number;
        text["servers_era"] = report.servers.era;
    }
    for (const auto& [service, version] : report.owners) {
        text["owners"][service.value()] = version;
    }
    for (const auto& [name, instances] :
         {std::pair{"ended", &report.ended}, std::pair{"leaving", &report.leaving}}) {
        for (const ranges::server_instance& life : *instances) {
            text[name].push_back({life.id.value(), life.start_time_ms});
        }
    }
    for (const request_loss& loss : report.losses) {
        text["losses"].push_back(
            {loss.content.value(), loss.server.id.value(), loss.server.start_time_ms});
    }
    for (const request_fingerprint& content : report.cleared) {
        text["cleared"].push_back(content.value());
    }
    if (report.suspects != 0) {
        text["suspects"] = report.suspects;
    }
    text["keys"] = nlohmann::json::object();
    for (const auto& [service, keys] : report.keys) {
        text["keys"][service.value()] = keys;
    }
    if (report.limits != 0) {
        text["limits"] = report.limits;
    }
    for (const auto& [service, servers] : report.queues) {
        for (const auto& [server, sample] : servers) {
            text["queues"][service.value()][server.value()] = {std::lround(sample.sum),
                                                               sample.count};
        }
    }
    for (const auto& [service, servers] : report.speeds) {
        for (const auto& [server, sample] : servers) {
            // Hundredths are precise enough and keep the report short.
            text["speeds"][service.value()][server.value()] = {
                std::lround(sample.sum_log_ms * log_ms_scale), sample.count};
        }
    }
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool decode(std::string_view text, host_report& report) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("host") || !parsed["host"].is_string() ||
        !parsed.contains("keys") || !parsed["keys"].is_object()) {
        return false;
    }
    report.host = host_id(parsed["host"].get<std::string>());
    for (const auto& [service, keys] : parsed["keys"].items()) {
        if (!keys.is_array()) {
            return false;
        }
        auto& list = report.keys[service_id(service)];
        for (const nlohmann::json& key : keys) {
            if (!key.is_number_unsigned() || key.get<std::uint64_t>() > ranges::last_key) {
                return false;
            }
            list.push_back(key.get<ranges::key_position>());
        }
    }
    if (parsed.contains("address")) {
        const auto address = parsed["address"].is_string()
                                 ? wire::parse_endpoint(parsed["address"].get<std::string>())
                                 : result<wire::endpoint>(wire::wire_errc::invalid_endpoint);
        if (!address) {
            return false;
        }
        report.address = *address;
    }
    if (parsed.contains("data_centre") && parsed["data_centre"].is_string()) {
        report.data_centre = data_centre_id(parsed["data_centre"].get<std::string>());
    }
    report.evacuations = {number_or_zero(parsed, "evacuations_era"),
                          number_or_zero(parsed, "evacuations")};
    report.contacts = number_or_zero(parsed, "contacts");
    report.term = parsed.contains("term") && parsed["term"].is_number_unsigned()
                      ? parsed["term"].get<std::uint64_t>()
                      : 0;
    report.answer_stamp = number_or_zero(parsed, "answer_stamp");
    report.told_of_outage = parsed.contains("told_of_outage") &&
                            parsed["told_of_outage"].is_boolean() &&
                            parsed["told_of_outage"].get<bool>();
    report.at_once = parsed.contains("at_once") && parsed["at_once"].is_boolean() &&
                     parsed["at_once"].get<bool>();
    report.servers = {number_or_zero(parsed, "servers_era"), number_or_zero(parsed, "servers")};
    if (parsed.contains("owners") && parsed["owners"].is_object()) {
        for (const auto& [service, version] : parsed["owners"].items()) {
            if (!version.is_number_unsigned()) {
                return false;
            }
            report.owners[service_id(service)] = version.get<std::uint64_t>();
        }
    }
    for (const auto& [name, instances] :
         {std::pair{"ended", &report.ended}, std::pair{"leaving", &report.leaving}}) {
        if (!parsed.contains(name) || !parsed[name].is_array()) {
            continue;
        }
        for (const nlohmann::json& life : parsed[name]) {
            if (!life.is_array() || life.size() != 2 || !life[0].is_string() ||
                !life[1].is_number_unsigned()) {
                return false;
            }
            instances->push_back(
                {server_id(life[0].get<std::string>()), life[1].get<std::uint64_t>()});
        }
    }
    report.limits = number_or_zero(parsed, "limits");
    report.suspects = number_or_zero(parsed, "suspects");
    if (!decode_losses(parsed, report.losses) ||
        !decode_fingerprints(parsed, "cleared", report.cleared)) {
        return false;
    }
    const auto make_queue = [](const nlohmann::json& sum, const nlohmann::json& count) {
        return sum.is_number_unsigned()
                   ? std::optional(queue_sample{sum.get<double>(),
                                                static_cast<int>(bounded(count, max_samples))})
                   : std::nullopt;
    };
    const auto make_speed = [](const nlohmann::json& sum, const nlohmann::json& count) {
        return std::optional(
            service_time_sample{sum.get<double>() / log_ms_scale, count.get<int>()});
    };
    return (!parsed.contains("queues") ||
            decode_samples(parsed["queues"], report.queues, make_queue)) &&
           (!parsed.contains("speeds") ||
            decode_samples(parsed["speeds"], report.speeds, make_speed));
}

std::string encode(const report_answer& answer) {
    nlohmann::json text;
    text["coordinating"] = answer.coordinating;
    text["pending"] = answer.pending;
    text["has_store"] = answer.has_store;
    text["hosts"] = answer.hosts;
    text["term"] = answer.term;
    if (answer.stamp != 0) {
        text["stamp"] = answer.stamp;
    }
    if (answer.catalogue.number != 0) {
        text["catalogue"] = answer.catalogue.number;
        text["catalogue_era"] = answer.catalogue.era;
    }
    for (const auto& [name, age] : {std::pair{"catalogue_age", &answer.catalogue_age},
                                    std::pair{"term_age", &answer.term_age}}) {
        if (*age) {
            text[name] = (*age)->count();
        }
    }
    for (const evacuation_change& change : answer.evacuations) {
        text["evacuations"].push_back({change.data_centre.value(), change.evacuated,
                                       change.version.era, change.version.number});
    }
    for (const lent_allowance& loan : answer.loans) {
        text["loans"].push_back(
            {loan.server.id.value(), loan.server.start_time_ms,
             static_cast<std::uint64_t>(std::lround(loan.requests_per_s * rate_scale)),
             loan.valid_for.count()});
    }
    for (const wire::endpoint& contact : answer.contacts) {
        text["contacts"].push_back(to_text(contact));
    }
    if (answer.limits) {
        nlohmann::json& written = text["limits"];
        written["version"] = answer.limits->version;
        written["services"] = nlohmann::json::object();
        for (const auto& [service, limits] : answer.limits->limits) {
            for (const key_limit& limit : limits) {
                written["services"][service.value()].push_back(
                    {limit.keys.first, limit.keys.last,
                     std::max<std::uint64_t>(
                         1, static_cast<std::uint64_t>(std::lround(
                                limit.fraction * static_cast<double>(fraction_scale))))});
            }
        }
    }
    if (answer.suspects) {
        nlohmann::json& written = text["suspects"];
        written["version"] = answer.suspects->version;
        written["requests"] = nlohmann::json::array();
        for (const suspect_request& request : answer.suspects->requests) {
            written["requests"].push_back(
                {request.content.value(), request.losses, request.remaining.count()});
        }
        for (const request_fingerprint& content : answer.suspects->cleared) {
            written["cleared"].push_back(content.value());
        }
    }
    if (answer.servers) {
        nlohmann::json& written = text["servers"];
        written["version"] = answer.servers->version.number;
        written["era"] = answer.servers->version.era;
        written["age"] = answer.servers->age.count();
        if (answer.servers->regained_before) {
            written["regained_before"] = answer.servers->regained_before->count();
        }
        written["changes"] = nlohmann::json::array();
        for (const server_change& change : answer.servers->changes) {
            written["changes"].push_back(encode_change(change));
            if (change.entry) {
                written["sequences"][change.id.value()] = change.entry->sequence;
            }
        }
    }
    for (const auto& [service, update] : answer.owners) {
        nlohmann::json& written = text["owners"][service.value()];
        written["version"] = update.version;
        written["whole"] = update.whole;
        written["ranges"] = nlohmann::json::array();
        for (const ranges::range_owner& entry : update.ranges) {
            written["ranges"].push_back({entry.keys.first, entry.keys.last, entry.owner.id.value(),
                                         entry.owner.start_time_ms});
        }
    }
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

namespace {

bool decode_update(const nlohmann::json& parsed, owners_update& update) {
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed["version"].is_number_unsigned() || !parsed.contains("whole") ||
        !parsed["whole"].is_boolean() || !parsed.contains("ranges") ||
        !parsed["ranges"].is_array()) {
        return false;
    }
    update.version = parsed["version"].get<std::uint64_t>();
    update.whole = parsed["whole"].get<bool>();
    std::uint64_t next = 0;
    for (const nlohmann::json& row : parsed["ranges"]) {
        if (!row.is_array() || row.size() != 4 || !row[0].is_number_unsigned() ||
            !row[1].is_number_unsigned() || !row[2].is_string() || !row[3].is_number_unsigned()) {
            return false;
        }
        const auto first = row[0].get<std::uint64_t>();
        const auto last = row[1].get<std::uint64_t>();
        if (first < next || last < first || last > ranges::last_key ||
            (update.whole && first != next)) {
            return false;
        }
        update.ranges.push_back(
            {{static_cast<ranges::key_position>(first), static_cast<ranges::key_position>(last)},
             {server_id(row[2].get<std::string>()), row[3].get<std::uint64_t>()}});
        next = last + 1;
    }
    return !update.whole || next == ranges::last_key + 1;
}

}  // namespace

bool decode(std::string_view text, report_answer& answer) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("coordinating") ||
        !parsed["coordinating"].is_boolean() || !parsed.contains("has_store") ||
        !parsed["has_store"].is_boolean() || !parsed.contains("hosts") ||
        !parsed["hosts"].is_number_integer()) {
        return false;
    }
    answer.coordinating = parsed["coordinating"].get<bool>();
    answer.pending = parsed.contains("pending") && parsed["pending"].is_boolean() &&
                     parsed["pending"].get<bool>();
    answer.has_store = parsed["has_store"].get<bool>();
    answer.hosts = parsed["hosts"].get<int>();
    answer.term = parsed.contains("term") && parsed["term"].is_number_unsigned()
                      ? parsed["term"].get<std::uint64_t>()
                      : 0;
    answer.stamp = number_or_zero(parsed, "stamp");
    answer.catalogue = {number_or_zero(parsed, "catalogue_era"),
                        number_or_zero(parsed, "catalogue")};
    for (const auto& [name, age] : {std::pair{"catalogue_age", &answer.catalogue_age},
                                    std::pair{"term_age", &answer.term_age}}) {
        const auto found = parsed.find(name);
        if (found != parsed.end() && found->is_number_unsigned()) {
            *age = milliseconds(bounded(*found, max_age.count()));
        }
    }
    if (!decode_contacts(parsed, answer.contacts)) {
        return false;
    }
    if (parsed.contains("limits") && !decode_limits(parsed["limits"], answer.limits.emplace())) {
        return false;
    }
    if ((parsed.contains("evacuations") &&
         !decode_evacuations(parsed["evacuations"], answer.evacuations)) ||
        (parsed.contains("loans") && !decode_loans(parsed["loans"], answer.loans))) {
        return false;
    }
    if (parsed.contains("suspects") &&
        !decode_suspects(parsed["suspects"], answer.suspects.emplace())) {
        return false;
    }
    if (parsed.contains("servers") &&
        !decode_directory_update(parsed["servers"], answer.servers.emplace())) {
        return false;
    }
    if (parsed.contains("owners") && parsed["owners"].is_object()) {
        for (const auto& [service, update] : parsed["owners"].items()) {
            if (!decode_update(update, answer.owners[service_id(service)])) {
                return false;
            }
        }
    }
    return true;
}

std::string encode(const stored_row& row) {
    const nlohmann::json text{{"key", row.key},
                              {"version", row.version.number},
                              {"era", row.version.era},
                              {"value", row.value}};
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool decode(std::string_view text, stored_row& row) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("key") || !parsed["key"].is_string() ||
        !parsed.contains("value") || !parsed["value"].is_string()) {
        return false;
    }
    row.key = parsed["key"].get<std::string>();
    row.value = parsed["value"].get<std::string>();
    row.version = {number_or_zero(parsed, "era"), number_or_zero(parsed, "version")};
    return row.version.number != 0;
}

}  // namespace greengagechute::gateway
