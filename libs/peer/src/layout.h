#pragma once

#include "peer/messages.h"

#include <cstdint>
#include <tuple>

namespace greengagechute::peer {

/// Fields of a struct in wire order. New fields are appended; fields are never removed or
/// reordered.
///
/// `number` is the type number of a message; structs inside messages have none.
template <typename type>
struct layout;

// clang-format off
template <> struct layout<host_instance> {
    static auto tie(auto& m) { return std::tie(m.host, m.instance); }
};
template <> struct layout<ownership::held_partition> {
    static auto tie(auto& m) { return std::tie(m.partition, m.current); }
};
template <> struct layout<heartbeat_ack::entry> {
    static auto tie(auto& m) {
        return std::tie(m.host, m.roster, m.active_revision, m.prepared_revision);
    }
};
template <> struct layout<idempotency_record> {
    static auto tie(auto& m) { return std::tie(m.id, m.state, m.status, m.body, m.headers, m.has_body, m.fingerprint); }
};

template <> struct layout<forward_request> {
    static constexpr std::uint16_t number = 1;
    static auto tie(auto& m) {
        return std::tie(m.request, m.active_revision, m.map, m.service, m.server, m.partition,
                        m.divided, m.key, m.caller, m.work_kind, m.idempotent, m.idempotency_key,
                        m.deadline, m.method, m.target, m.headers, m.body);
    }
};
template <> struct layout<forward_cancel> {
    static constexpr std::uint16_t number = 2;
    static auto tie(auto& m) { return std::tie(m.request); }
};
template <> struct layout<answer_head> {
    static constexpr std::uint16_t number = 3;
    static auto tie(auto& m) { return std::tie(m.request, m.status, m.headers); }
};
template <> struct layout<answer_part> {
    static constexpr std::uint16_t number = 4;
    static auto tie(auto& m) { return std::tie(m.request, m.number, m.data); }
};
template <> struct layout<answer_end> {
    static constexpr std::uint16_t number = 5;
    static auto tie(auto& m) { return std::tie(m.request, m.parts, m.bytes, m.predicted_wait); }
};
template <> struct layout<answer_credit> {
    static constexpr std::uint16_t number = 6;
    static auto tie(auto& m) { return std::tie(m.request, m.bytes); }
};
template <> struct layout<refused> {
    static constexpr std::uint16_t number = 7;
    static auto tie(auto& m) {
        return std::tie(m.request, m.state, m.code, m.active_revision, m.map, m.moved_to,
                        m.moved_to_host, m.predicted_wait);
    }
};
template <> struct layout<heartbeat> {
    static constexpr std::uint16_t number = 8;
    static auto tie(auto& m) {
        return std::tie(m.term, m.sequence, m.coordinator, m.coordinator_address, m.roster,
                        m.active_revision, m.maps, m.store_available, m.echo, m.age, m.head_known,
                        m.head_open_for);
    }
};
template <> struct layout<heartbeat_ack> {
    static constexpr std::uint16_t number = 9;
    static auto tie(auto& m) { return std::tie(m.term, m.sequence, m.hosts, m.mark); }
};
template <> struct layout<join> {
    static constexpr std::uint16_t number = 10;
    static auto tie(auto& m) { return std::tie(m.host, m.address, m.region, m.data_centre, m.mark, m.was_member); }
};
template <> struct layout<leave> {
    static constexpr std::uint16_t number = 11;
    static auto tie(auto& m) { return std::tie(m.host); }
};
template <> struct layout<snapshot_request> {
    static constexpr std::uint16_t number = 12;
    static auto tie(auto& m) { return std::tie(m.roster, m.active_revision, m.maps, m.mark); }
};
template <> struct layout<snapshot> {
    static constexpr std::uint16_t number = 13;
    static auto tie(auto& m) {
        return std::tie(m.term, m.coordinator, m.coordinator_address, m.roster, m.roster_body,
                        m.active_revision, m.catalogue_body, m.maps, m.prepared_revision, m.mark);
    }
};
template <> struct layout<prepare_note> {
    static constexpr std::uint16_t number = 14;
    static auto tie(auto& m) {
        return std::tie(m.term, m.number, m.submission, m.catalogue_body, m.digest);
    }
};
template <> struct layout<prepared> {
    static constexpr std::uint16_t number = 15;
    static auto tie(auto& m) { return std::tie(m.number, m.digest, m.accepted, m.code); }
};
template <> struct layout<activate_note> {
    static constexpr std::uint16_t number = 16;
    static auto tie(auto& m) { return std::tie(m.term, m.number, m.digest); }
};
template <> struct layout<activated> {
    static constexpr std::uint16_t number = 17;
    static auto tie(auto& m) { return std::tie(m.number); }
};
template <> struct layout<abort_note> {
    static constexpr std::uint16_t number = 18;
    static auto tie(auto& m) { return std::tie(m.term, m.number, m.digest); }
};
template <> struct layout<submit_note> {
    static constexpr std::uint16_t number = 19;
    static auto tie(auto& m) { return std::tie(m.submission, m.body); }
};
template <> struct layout<submit_result> {
    static constexpr std::uint16_t number = 20;
    static auto tie(auto& m) {
        return std::tie(m.submission, m.state, m.code, m.detail, m.number);
    }
};
template <> struct layout<map_update> {
    static constexpr std::uint16_t number = 21;
    static auto tie(auto& m) { return std::tie(m.map_body); }
};
template <> struct layout<map_ack> {
    static constexpr std::uint16_t number = 22;
    static auto tie(auto& m) { return std::tie(m.service, m.version, m.lagging, m.consents); }
};
template <> struct layout<watch> {
    static constexpr std::uint16_t number = 23;
    static auto tie(auto& m) { return std::tie(m.service, m.server); }
};
template <> struct layout<watch_ack> {
    static constexpr std::uint16_t number = 24;
    static auto tie(auto& m) { return std::tie(m.service, m.server, m.dispatcher_epoch); }
};
template <> struct layout<consent_request> {
    static constexpr std::uint16_t number = 25;
    static auto tie(auto& m) { return std::tie(m.service, m.server, m.dispatcher_epoch, m.map); }
};
template <> struct layout<consent_reply> {
    static constexpr std::uint16_t number = 26;
    static auto tie(auto& m) {
        return std::tie(m.service, m.server, m.dispatcher_epoch, m.granted, m.map);
    }
};
template <> struct layout<dispatcher_changed> {
    static constexpr std::uint16_t number = 27;
    static auto tie(auto& m) {
        return std::tie(m.service, m.server, m.dispatcher, m.address, m.dispatcher_epoch, m.map,
                        m.handed_over);
    }
};
template <> struct layout<move_request> {
    static constexpr std::uint16_t number = 28;
    static auto tie(auto& m) { return std::tie(m.service, m.server, m.map, m.partitions); }
};
template <> struct layout<hand_over> {
    static constexpr std::uint16_t number = 29;
    static auto tie(auto& m) { return std::tie(m.service, m.partition, m.from, m.to); }
};
template <> struct layout<hand_over_ack> {
    static constexpr std::uint16_t number = 30;
    static auto tie(auto& m) { return std::tie(m.service, m.partition, m.from, m.to); }
};
template <> struct layout<token_report> {
    static constexpr std::uint16_t number = 31;
    static auto tie(auto& m) { return std::tie(m.service, m.owner, m.partitions); }
};
template <> struct layout<dispatch_hand_over> {
    static constexpr std::uint16_t number = 32;
    static auto tie(auto& m) {
        return std::tie(m.service, m.server, m.dispatcher_epoch, m.records, m.unknown_until);
    }
};
template <> struct layout<quarantine_notice> {
    static constexpr std::uint16_t number = 33;
    static auto tie(auto& m) { return std::tie(m.fingerprint, m.losses, m.remaining); }
};
template <> struct layout<welcome> {
    static constexpr std::uint16_t number = 34;
    static auto tie(auto& m) { return std::tie(m.term, m.number, m.digest, m.echo); }
};
// clang-format on

}  // namespace greengagechute::peer
