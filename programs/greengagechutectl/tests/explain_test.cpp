#define BOOST_TEST_MODULE explain
#include "explain.h"

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

namespace ctl = greengagechute::ctl;

namespace {

/// A log line at a second and millisecond of one minute.
std::string line(const std::string& time, const std::string& host, const std::string& event,
                 const std::string& members) {
    return "{\"time\":\"2026-01-02T03:04:" + time + "000Z\",\"level\":\"info\",\"host\":\"" + host +
           "\",\"event\":\"" + event + "\"" + (members.empty() ? "" : "," + members) + "}\n";
}

ctl::account explain(const std::string& id, const std::string& first, const std::string& second) {
    std::istringstream one(first);
    std::istringstream two(second);
    return ctl::explain(id, {{"one", &one}, {"two", &two}});
}

bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

const std::string accepted =
    line("10.100", "a", "request_accepted", R"("request":"r","service":"s","key":7)");
const std::string refused = line("10.400", "a", "request_refused", R"("request":"r","error":1505)");
const std::string answered =
    line("10.400", "a", "request_answered", R"("request":"r","status":503)");

}  // namespace

// Guards against an account out of order, with lines of other requests, or without the cause that
// another host logged.
BOOST_AUTO_TEST_CASE(account_joins_hosts_in_order) {
    const std::string other = line("10.200", "a", "request_accepted", R"("request":"other")");
    const std::string cause =
        line("09.900", "b", "grant_failed", R"("service":"s","first":0,"last":9,"server":"x")");
    const std::string elsewhere =
        line("09.900", "b", "grant_failed", R"("service":"s","first":10,"last":19,"server":"y")");
    const std::string long_ago = line("01.000", "a", "configuration_in_force", R"("version":1)");
    const ctl::account found =
        explain("r", answered + long_ago + other + accepted + refused, cause + elsewhere);
    BOOST_TEST(found.found);
    BOOST_TEST(found.text.find("request_accepted") < found.text.find("request_refused"));
    BOOST_TEST(has(found.text, "+300.0 ms"));
    BOOST_TEST(has(found.text, "no_owner"));
    BOOST_TEST(has(found.text, "-200.0 ms  b  grant_failed"));
    BOOST_TEST(!has(found.text, "other"));
    BOOST_TEST(!has(found.text, "server=y"));
    BOOST_TEST(!has(found.text, "configuration_in_force"));
    BOOST_TEST(!has(found.text, "missing"));
}

// Guards against an account that does not tell why a server got nothing: it had said in the answer
// to another request that it is leaving, or for how long it wants no requests.
BOOST_AUTO_TEST_CASE(account_names_what_servers_have_said) {
    const std::string leaving =
        line("09.800", "a", "server_leaving", R"("in_answer_to":"q","server":"x","born":1)");
    const std::string pause = line("09.900", "a", "server_asks_pause",
                                   R"("in_answer_to":"q","server":"x","born":1,"until":800)");
    const std::string elsewhere =
        line("09.900", "b", "server_asks_pause", R"("in_answer_to":"q","server":"x","until":800)");
    const std::string sent = line("10.200", "a", "request_sent", R"("request":"r","server":"x")");
    const ctl::account found =
        explain("r", leaving + pause + accepted + sent + refused + answered, elsewhere);
    BOOST_TEST(has(found.text, "-300.0 ms  a  server_leaving"));
    BOOST_TEST(has(found.text, "-200.0 ms  a  server_asks_pause"));
    BOOST_TEST(has(found.text, "until=800"));
    BOOST_TEST(!has(found.text, "  b  server_asks_pause"));
}

// Guards against a cut file or a prefix of a log collector that ends the account.
BOOST_AUTO_TEST_CASE(cut_files_and_prefixes_are_read) {
    const ctl::account found = explain("r", "03:04 host-a " + accepted + "me\":\"x\"}\n",
                                       refused.substr(0, refused.size() / 2));
    BOOST_TEST(found.found);
    BOOST_TEST(has(found.text, "request_accepted"));
    BOOST_TEST(has(found.text, "missing: the line of its end"));
    BOOST_TEST(has(found.text, "missing: 2 lines that could not be read"));
}

// Guards against an account that looks complete although lines were dropped.
BOOST_AUTO_TEST_CASE(missing_lines_are_named) {
    const std::string dropped = line("10.300", "a", "log_lines_dropped", R"("routine":5)");
    const ctl::account found = explain("r", dropped + refused + answered, "");
    BOOST_TEST(has(found.text, "missing: the line of its arrival"));
    BOOST_TEST(has(found.text, "missing: lines that a dropped"));
    BOOST_TEST(!explain("unknown", accepted, "").found);
}
