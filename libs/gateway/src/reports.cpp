#include "gateway/coordinator.h"

#include <nlohmann/json.hpp>

namespace greengagechute::gateway {

std::string encode(const host_report& report) {
    nlohmann::json text;
    text["host"] = report.host.value();
    text["keys"] = nlohmann::json::object();
    for (const auto& [service, keys] : report.keys) {
        text["keys"][service.value()] = keys;
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
