#include "upstream/protocol.h"

#include "upstream/errors.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace greengagechute::upstream {

namespace {

constexpr std::string_view grant_refusal = "grant-";

nlohmann::json to_json(const host_instance& host) {
    return {{"host", host.host.value()}, {"instance", host.instance.value()}};
}

nlohmann::json to_json(const std::vector<ownership::held_partition>& partitions) {
    nlohmann::json list = nlohmann::json::array();
    for (const ownership::held_partition& held : partitions) {
        list.push_back({held.partition.value(), held.current.value()});
    }
    return list;
}

host_instance read_host(const nlohmann::json& body) {
    return {host_id(body.at("host").get<std::string>()),
            incarnation(body.at("instance").get<std::uint64_t>())};
}

std::vector<ownership::held_partition> read_partitions(const nlohmann::json& body) {
    std::vector<ownership::held_partition> partitions;
    for (const nlohmann::json& entry : body) {
        partitions.push_back({partition_id(entry.at(0).get<std::uint32_t>()),
                              epoch(entry.at(1).get<std::uint64_t>())});
    }
    return partitions;
}

template <typename type, typename reader>
result<type> read(std::string_view text, reader read_fields) {
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return make_error_code(upstream_errc::malformed_message);
    }
    try {
        return read_fields(body);
    } catch (const nlohmann::json::exception&) {
        return make_error_code(upstream_errc::malformed_message);
    }
}

}  // namespace

std::string not_run_reason(std::error_code ownership_code) {
    return std::string(grant_refusal) + std::to_string(ownership_code.value());
}

bool is_grant_refusal(std::string_view reason) {
    return reason.starts_with(grant_refusal);
}

std::string encode(const ownership::grant& order) {
    const nlohmann::json body{{"service", order.service.value()},
                              {"server", order.server.value()},
                              {"holder", to_json(order.holder)},
                              {"dispatcher_epoch", order.dispatcher_epoch.value()},
                              {"expected_epoch", order.expected_epoch.value()},
                              {"set_version", order.set_version},
                              {"partitions", to_json(order.partitions)},
                              {"boot", order.boot.value()},
                              {"end", order.end.value()}};
    return body.dump();
}

std::string encode(const ownership::server_report& report) {
    const nlohmann::json body{{"accepted", report.accepted},
                              {"boot", report.boot.value()},
                              {"now", report.now.value()},
                              {"dispatcher_epoch", report.dispatcher_epoch.value()},
                              {"holder", to_json(report.holder)},
                              {"set_version", report.set_version},
                              {"partitions", to_json(report.partitions)},
                              {"end", report.end.value()},
                              {"draining", report.draining}};
    return body.dump();
}

result<ownership::grant> decode_grant(std::string_view text) {
    return read<ownership::grant>(text, [](const nlohmann::json& body) {
        ownership::grant order;
        order.service = service_id(body.at("service").get<std::string>());
        order.server = server_id(body.at("server").get<std::string>());
        order.holder = read_host(body.at("holder"));
        order.dispatcher_epoch = epoch(body.at("dispatcher_epoch").get<std::uint64_t>());
        order.expected_epoch = epoch(body.at("expected_epoch").get<std::uint64_t>());
        order.set_version = body.at("set_version").get<std::uint64_t>();
        order.partitions = read_partitions(body.at("partitions"));
        order.boot = ownership::boot_id(body.at("boot").get<std::uint64_t>());
        order.end = ownership::server_time(body.at("end").get<std::int64_t>());
        return order;
    });
}

result<ownership::server_report> decode_report(std::string_view text) {
    return read<ownership::server_report>(text, [](const nlohmann::json& body) {
        ownership::server_report report;
        report.accepted = body.at("accepted").get<bool>();
        report.boot = ownership::boot_id(body.at("boot").get<std::uint64_t>());
        report.now = ownership::server_time(body.at("now").get<std::int64_t>());
        report.dispatcher_epoch = epoch(body.at("dispatcher_epoch").get<std::uint64_t>());
        report.holder = read_host(body.at("holder"));
        report.set_version = body.at("set_version").get<std::uint64_t>();
        report.partitions = read_partitions(body.at("partitions"));
        report.end = ownership::server_time(body.at("end").get<std::int64_t>());
        report.draining = body.at("draining").get<bool>();
        return report;
    });
}

}  // namespace greengagechute::upstream
