#include "sample_note.h"

#include <array>
#include <string_view>
#include <utility>

namespace greengagechute::ctl {

namespace {

constexpr std::array<std::pair<std::string_view, std::string_view>, 6> places{
    {{"lothian", "lothian-depot"},
     {"lothian", "lothian-hub"},
     {"clyde", "clyde-depot"},
     {"clyde", "clyde-hub"},
     {"grampian", "grampian-depot"},
     {"grampian", "grampian-hub"}}};

constexpr milliseconds default_deadline{3'000};
constexpr std::uint32_t server_connections = 130;

release::change add_service(const sample_service& sample, std::uint32_t partitions) {
    release::service_definition service;
    service.service = service_id(sample.service);
    service.divided = sample.divided;
    service.partitions = sample.divided ? partitions : 0;
    service.default_deadline = default_deadline;
    return {release::change_op::add, service};
}

release::change add_server(const sample_service& sample, std::uint16_t index, std::uint32_t slots) {
    const auto& [region, data_centre] = places[index % places.size()];
    release::upstream_definition server;
    server.server = server_id(sample.prefix + "-" + std::to_string(index + 1));
    server.service = service_id(sample.service);
    server.address = "127.0.0.1:" + std::to_string(sample.first_port + index);
    server.region = region_id(std::string(region));
    server.data_centre = data_centre_id(std::string(data_centre));
    server.slots = slots;
    server.connections = server_connections;
    server.checks_grants = true;
    return {release::change_op::add, server};
}

}  // namespace

release::note make_sample_note(const command_line& options, std::string submission) {
    release::note note;
    note.submission = std::move(submission);
    note.base = revision(options.base_revision);
    for (const sample_service& sample : options.services) {
        note.changes.push_back(add_service(sample, options.partitions));
        for (std::uint16_t index = 0; index < sample.servers; ++index) {
            note.changes.push_back(add_server(sample, index, options.slots));
        }
    }
    return note;
}

}  // namespace greengagechute::ctl
