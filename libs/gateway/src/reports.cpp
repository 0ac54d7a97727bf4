#include "gateway/coordinator.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace greengagechute::gateway {

namespace {

constexpr double hundredths = 100.0;

}  // namespace

std::string encode(const host_report& report) {
    nlohmann::json text;
    text["host"] = report.host.value();
    text["keys"] = nlohmann::json::object();
    for (const auto& [service, keys] : report.keys) {
        text["keys"][service.value()] = keys;
    }
    for (const auto& [service, servers] : report.speeds) {
        for (const auto& [server, sample] : servers) {
            // Hundredths are exact enough and short.
            text["speeds"][service.value()][server.value()] = {
                std::lround(sample.log_ms_sum * hundredths), sample.count};
        }
    }
    return text.dump();
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
    if (!parsed.contains("speeds")) {
        return true;
    }
    if (!parsed["speeds"].is_object()) {
        return false;
    }
    for (const auto& [service, servers] : parsed["speeds"].items()) {
        if (!servers.is_object()) {
            return false;
        }
        for (const auto& [server, sample] : servers.items()) {
            if (!sample.is_array() || sample.size() != 2 || !sample[0].is_number_integer() ||
                !sample[1].is_number_unsigned()) {
                return false;
            }
            report.speeds[service_id(service)][server_id(server)] = {
                sample[0].get<double>() / hundredths, sample[1].get<int>()};
        }
    }
    return true;
}

std::string encode(const report_answer& answer) {
    nlohmann::json text;
    text["coordinating"] = answer.coordinating;
    text["has_store"] = answer.has_store;
    text["hosts"] = answer.hosts;
    return text.dump();
}

bool decode(std::string_view text, report_answer& answer) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("coordinating") ||
        !parsed["coordinating"].is_boolean() || !parsed.contains("has_store") ||
        !parsed["has_store"].is_boolean() || !parsed.contains("hosts") ||
        !parsed["hosts"].is_number_integer()) {
        return false;
    }
    answer.coordinating = parsed["coordinating"].get<bool>();
    answer.has_store = parsed["has_store"].get<bool>();
    answer.hosts = parsed["hosts"].get<int>();
    return true;
}

}  // namespace greengagechute::gateway
