#define BOOST_TEST_MODULE errors_doc
#include "admission/errors.h"
#include "base/errors.h"
#include "gateway/errors.h"
#include "http/errors.h"
#include "membership/errors.h"
#include "ownership/errors.h"
#include "peer/errors.h"
#include "placement/errors.h"
#include "platform/errors.h"
#include "ranges/errors.h"
#include "release/errors.h"
#include "router/errors.h"
#include "settings/errors.h"
#include "telemetry/errors.h"
#include "upstream/errors.h"
#include "wire/errors.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <set>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gg = greengagechute;

namespace {

/// The error tables of all libraries, with the first and last number of their range; one line each.
struct library_table {
    std::string_view library;
    int first;
    int last;
    std::span<const gg::error_entry> entries;
};
const std::vector<library_table> tables{
    {"base", 100, 199, gg::base_error_table()},
    {"release", 500, 599, gg::release::error_table()},
    {"membership", 600, 699, gg::membership::error_table()},
    {"settings", 200, 249, gg::settings::error_table()},
    {"telemetry", 250, 299, gg::telemetry::error_table()},
    {"placement", 300, 399, gg::placement::error_table()},
    {"ownership", 400, 499, gg::ownership::error_table()},
    {"admission", 700, 799, gg::admission::error_table()},
    {"http", 800, 849, gg::http::error_table()},
    {"upstream", 850, 899, gg::upstream::error_table()},
    {"peer", 900, 999, gg::peer::error_table()},
    {"platform", 1000, 1099, gg::platform::error_table()},
    {"router", 1100, 1199, gg::router::error_table()},
    {"wire", 1300, 1399, gg::wire::error_table()},
    {"ranges", 1400, 1499, gg::ranges::error_table()},
    {"gateway", 1500, 1599, gg::gateway::error_table()},
};

/// A row of the document: number, name, text, what to do.
struct row {
    std::string name;
    std::string text;
    std::string remedy;
};

std::string trimmed(const std::string& text) {
    const std::size_t first = text.find_first_not_of(' ');
    const std::size_t last = text.find_last_not_of(' ');
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

std::vector<std::string> cells_of(const std::string& line) {
    std::vector<std::string> cells;
    std::istringstream stream(line.substr(1));
    std::string cell;
    while (std::getline(stream, cell, '|')) {
        cells.push_back(trimmed(cell));
    }
    return cells;
}

/// The rows that start with a number, in the order of the document.
std::vector<std::pair<int, row>> read_document() {
    std::ifstream file(GG_ERRORS_DOCUMENT);
    BOOST_TEST_REQUIRE(file.is_open());
    std::vector<std::pair<int, row>> rows;
    std::string line;
    while (std::getline(file, line)) {
        if (line.empty() || line.front() != '|') {
            continue;
        }
        const std::vector<std::string> cells = cells_of(line);
        if (cells.front().find_first_not_of("0123456789") != std::string::npos) {
            continue;
        }
        BOOST_TEST_REQUIRE(cells.size() == 4U, line);
        rows.emplace_back(std::stoi(cells[0]), row{cells[1], cells[2], cells[3]});
    }
    return rows;
}

}  // namespace

// Guards against a code that operators cannot look up, and against a text that differs from the
// program's.
BOOST_AUTO_TEST_CASE(every_code_is_documented) {
    std::map<int, row> documented;
    for (const auto& [number, entry] : read_document()) {
        BOOST_TEST(documented.emplace(number, entry).second, number << " is listed twice");
    }
    for (const library_table& table : tables) {
        for (const gg::error_entry& entry : table.entries) {
            const auto found = documented.find(entry.number);
            BOOST_TEST_CONTEXT(table.library << " " << entry.number) {
                BOOST_TEST_REQUIRE((found != documented.end()));
                BOOST_TEST(found->second.name == entry.name);
                BOOST_TEST(found->second.text == entry.text);
                BOOST_TEST(!found->second.remedy.empty());
                documented.erase(found);
            }
        }
    }
    for (const auto& [number, entry] : documented) {
        BOOST_TEST(false, "no library has the documented code " << number << " " << entry.name);
    }
}

// Guards against a document that is out of order, so that a new code seems to be free.
BOOST_AUTO_TEST_CASE(the_document_is_in_order) {
    int previous = 0;
    for (const auto& [number, entry] : read_document()) {
        BOOST_TEST(number > previous);
        previous = number;
    }
}

// Guards against a number outside of its library's range, or one that two codes share.
BOOST_AUTO_TEST_CASE(numbers_are_unique_and_in_range) {
    std::set<int> numbers;
    for (const library_table& table : tables) {
        for (const gg::error_entry& entry : table.entries) {
            BOOST_TEST(entry.number >= table.first);
            BOOST_TEST(entry.number <= table.last);
            BOOST_TEST(numbers.insert(entry.number).second);
        }
    }
}
