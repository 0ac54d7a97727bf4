#include "targets.h"

#include "adapter/adapter.h"
#include "gateway/coordinator.h"
#include "gateway/front.h"
#include "ranges/range_table.h"
#include "wire/message.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace greengagechute::fuzz {

namespace {

/// Limits that a configuration may set.
constexpr wire::message_limits request_limits{16'384, 65'536};
constexpr std::size_t head_limit = 32'768;

/// The messages in the bytes, as texts, and how the stream ended.
struct read_stream {
    std::vector<std::string> messages;
    bool failed = false;

    friend bool operator==(const read_stream&, const read_stream&) = default;
};

/// Feeds the bytes in pieces of `step` bytes.
template <typename parser_type, typename describe_type>
read_stream read_in_pieces(parser_type& parser, std::string_view bytes, std::size_t step,
                           const describe_type& describe) {
    read_stream result;
    while (!bytes.empty() && !parser.error()) {
        std::string_view piece = bytes.substr(0, step);
        bytes.remove_prefix(piece.size());
        while (!piece.empty() && !parser.error()) {
            std::size_t used = 0;
            const bool complete = parser.feed(piece, used);
            piece.remove_prefix(std::min(used, piece.size()));
            if (complete) {
                result.messages.push_back(describe(parser.take()));
            } else if (used == 0 && !parser.error()) {
                result.messages.emplace_back("no progress");
                return result;
            }
        }
    }
    result.failed = static_cast<bool>(parser.error());
    return result;
}

/// The bytes by which a request is sent on.
std::string forwarded(wire::request message) {
    wire::remove_connection_headers(message.headers);
    return serialize(message);
}

std::string check_requests(std::string_view bytes) {
    const auto read = [bytes](std::size_t step) {
        wire::request_parser parser;
        parser.set_limits(request_limits);
        return read_in_pieces(parser, bytes, step, forwarded);
    };
    const read_stream whole = read(std::max<std::size_t>(1, bytes.size()));
    if (whole != read(1) || whole != read(7)) {
        return "the same bytes in other pieces are read as other requests";
    }
    for (const std::string& text : whole.messages) {
        wire::request_parser parser;
        const read_stream again = read_in_pieces(parser, text, text.size(), forwarded);
        if (again.failed || again.messages.size() != 1 || again.messages.front() != text) {
            return "a request that is sent on is not read as the same one";
        }
    }
    return {};
}

std::string check_responses(std::string_view bytes) {
    bool over_limit = false;
    const auto read = [bytes, &over_limit](std::size_t step) {
        wire::response_parser parser;
        parser.set_head_limit(head_limit);
        read_stream result = read_in_pieces(parser, bytes, step, [](const wire::response& message) {
            return serialize(message, false, false);
        });
        over_limit = over_limit || parser.kept_bytes() > bytes.size() + 2 * head_limit;
        if (!result.failed && parser.feed_end()) {
            result.messages.push_back("ended: " + serialize(parser.take(), false, false));
        }
        return result;
    };
    const read_stream whole = read(std::max<std::size_t>(1, bytes.size()));
    if (whole != read(1) || whole != read(7)) {
        return "the same bytes in other pieces are read as other responses";
    }
    return over_limit ? "more is kept than the limit of a head and the received bytes" : "";
}

/// `bytes` are the beginning of an answer to an earlier request, which is joined by a whole one to
/// the present request.
std::string check_joined_responses(std::string_view bytes) {
    const std::string joined = std::string(bytes) +
                               "HTTP/1.1 500 Failed\r\nOwn-Load: 1,0,3\r\nOwn-Id: present\r\n"
                               "Content-Length: 4\r\n\r\n2222";
    bool lent = false;
    const auto check = [&lent](const wire::response& message) {
        const bool taken =
            wire::header_values(message.headers, "Own-Id") == std::vector<std::string>{"present"};
        lent = lent || (taken && (message.code != 500 || message.body != "2222"));
        return std::string();
    };
    for (const std::size_t step : {joined.size(), std::size_t{1}, std::size_t{7}}) {
        wire::response_parser parser;
        parser.set_head_limit(head_limit);
        const read_stream result = read_in_pieces(parser, joined, step, check);
        if (!result.failed && parser.feed_end()) {
            check(parser.take());
        }
    }
    return lent ? "an answer that broke off has lent its head to the next one" : "";
}

std::string check_server_row(std::string_view bytes) {
    std::string reason;
    const auto entry = adapter::read_server({"", "i-1", std::string(bytes), {0, 1}, false}, reason);
    if (!entry) {
        return reason.empty() ? "no reason is given" : "";
    }
    gateway::report_answer answer;
    answer.coordinating = true;
    answer.servers = gateway::directory_update{{1, 9}, {}, {}, {{entry->life.id, *entry, {1, 8}}}};
    gateway::report_answer same;
    return decode(encode(answer), same) ? "" : "the entry cannot be passed to other hosts";
}

std::string check_configuration(std::string_view bytes) {
    std::string reason;
    auto content = adapter::read_configuration(bytes, reason);
    if (!content) {
        return reason.empty() ? "no reason is given" : "";
    }
    gateway::index_routes(*content);
    for (const gateway::route& entry : content->routes) {
        // A path never holds a question mark, so that such a prefix matches none.
        const bool can_match = entry.prefix.find('?') == std::string::npos;
        if (can_match && gateway::find_route(*content, entry.host, entry.prefix) == nullptr) {
            return "a route of the configuration is not found";
        }
    }
    return {};
}

std::string check_settings(std::string_view bytes) {
    std::vector<std::string> errors;
    const auto settings = adapter::read_settings(bytes, errors);
    return settings || !errors.empty() ? "" : "no error is named";
}

template <typename message>
std::string check_peer_message(std::string_view bytes) {
    message read;
    if (!decode(bytes, read)) {
        return {};
    }
    message same;
    if (!decode(encode(read), same)) {
        return "a message that was read cannot be passed on";
    }
    return encode(read) == encode(same) ? "" : "a message changes when it is passed on";
}

std::string check_owners(std::string_view bytes) {
    const auto table = ranges::decode(bytes);
    if (!table) {
        return {};
    }
    const auto same = ranges::decode(ranges::encode(*table));
    if (!same || ranges::encode(*same) != ranges::encode(*table)) {
        return "a stored table changes when it is written again";
    }
    if (!table->ranges.empty() && ranges::owner_of(*table, ranges::last_key) == nullptr) {
        return "the last key has no entry";
    }
    return {};
}

std::string sample_report() {
    gateway::host_report report;
    report.host = host_id("h");
    report.term = 3;
    report.servers = {1, 9};
    report.keys[service_id("s")] = {1, 65'535};
    report.speeds[service_id("s")][server_id("a")] = {4.5, 3};
    report.ended.push_back({server_id("a"), 7});
    report.leaving.push_back({server_id("b"), 8});
    report.owners[service_id("s")] = 2;
    report.limits = 3;
    report.queues[service_id("s")][server_id("a")] = {12, 4};
    return encode(report);
}

std::string sample_answer() {
    gateway::report_answer answer;
    answer.coordinating = true;
    answer.term = 3;
    answer.catalogue = {1, 5};
    answer.limits = gateway::limits_update{3, {{service_id("s"), {{{8, 11}, 0.25}}}}};
    answer.owners[service_id("s")] = {2, true, {{{0, 65'535}, {server_id("a"), 7}}}};
    gateway::server_entry entry;
    entry.life = {server_id("a"), 7};
    entry.service = service_id("s");
    entry.address = {"10.0.0.1", 80};
    answer.servers =
        gateway::directory_update{{1, 9},
                                  milliseconds{40},
                                  milliseconds{700},
                                  {{server_id("a"), entry, {1, 8}}, {server_id("b"), {}, {1, 9}}}};
    return encode(answer);
}

}  // namespace

const std::vector<target>& targets() {
    static const std::vector<target> all{
        {"request",
         {"POST /a%2Fb?q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
          "PUT /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nabcd",
          "GET / HTTP/1.0\r\nHost: h\r\nConnection: Upgrade, keep-alive\r\nUpgrade: x\r\n\r\n"},
         check_requests},
        {"response",
         {"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
          "Content-Length: 4\r\n\r\nabcd",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n",
          "HTTP/1.1 503 Full\r\nRetry-After: 0.5\r\n\r\nbody to the end",
          "HTTP/1.1 204 No\r\n\r\n"},
         check_responses},
        {"joined_response",
         {"HTTP/1.1 200 OK\r\nOwn-Load: 1,0", "HTTP/1.1 200 O",
          "HTTP/1.1 200 OK\r\nOwn-Load: 1,0,3\r\nOwn-Id: earlier\r\nOwn-Signa",
          "HTTP/1.1 503 Full\r\nOwn-Not-Run: 1\r\nRetry-After: 0.",
          "HTTP/1.1 200 OK\r\nOwn-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n11",
          "HTTP/1.1 103 Early\r\nLink: x"},
         check_joined_responses},
        {"server_row",
         {R"({"address":"10.0.0.1:80","born":1700000000000,"info":{"service":"s","version":"v1",)"
          R"("zone":"z","slots":3},"status":{"state":"ready","sequence":4,"warmupLeftS":0.5}})"},
         check_server_row},
        {"configuration",
         {R"({"version":7,"routes":{"columns":["name","host","prefix","kind","timeoutS",)"
          R"("targetLatencyS","priority","backends","maxAttempts","service"],"rows":[)"
          R"(["r1","f.example","/l/","safe",1,0.25,2,[{"service":"s1","weight":90},)"
          R"({"service":"s2","weight":10}],2,null],)"
          R"(["r2","f.example","/p/","unsafe",1.2,0.3,1,null,2,"s1"]]},"services":{"columns":)"
          R"(["name","healthPath","maxConnections","protocol","tls","sharded"],"rows":[)"
          R"(["s1","/health",130,"h1",false,true],["s2","/health",130,"h1",false,null]]},)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,)"
          R"("idleTimeoutS":15}})"},
         check_configuration},
        {"settings",
         {"nodeName=front-a-1\nzone=a\nregion=north\nzones.a=north\nip=10.1.0.10\n"
          "listen.front=10.1.0.10:8161\nlisten.readyAddr=10.1.0.10:8167\ninternalPorts=7720,7735\n"
          "limits.cpuShare=0.2\nlimits.memoryMb=260\nbounds.graceS=6\nbounds.holdMaxS=10\n"
          "platform.address=10.200.1.7:8169\n"},
         check_settings},
        {"report", {sample_report()}, check_peer_message<gateway::host_report>},
        {"report_answer", {sample_answer()}, check_peer_message<gateway::report_answer>},
        {"owners", {R"([[4095,"a",1],[65535,"b",2]])"}, check_owners},
    };
    return all;
}

}  // namespace greengagechute::fuzz
