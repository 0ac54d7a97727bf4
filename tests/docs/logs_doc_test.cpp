#define BOOST_TEST_MODULE logs_doc
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

using field_set = std::set<std::string>;

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path);
    BOOST_TEST_REQUIRE(file.is_open(), path.string());
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Matches of the first group.
std::vector<std::string> matches_of(const std::string& text, const std::regex& pattern) {
    std::vector<std::string> found;
    for (std::sregex_iterator next(text.begin(), text.end(), pattern), end; next != end; ++next) {
        found.push_back((*next)[1].str());
    }
    return found;
}

/// Text up to the brace that closes the one before `begin`.
std::string braced(const std::string& text, std::size_t begin) {
    std::size_t end = begin;
    for (int depth = 1; depth > 0 && end < text.size(); ++end) {
        depth += text[end] == '{' ? 1 : text[end] == '}' ? -1 : 0;
    }
    return text.substr(begin, end - begin);
}

/// Events that the source writes, with their fields.
std::map<std::string, field_set> written_events() {
    static const std::regex call(
        R"((?:log_(?:info|warning|error)\(\s*[\w.>-]+,\s*|telemetry::level::\w+,\s*)("[a-z_]+"|what\.action[^,]*),\s*\{)");
    static const std::regex quoted(R"delimiter("([a-z_]+)")delimiter");
    static const std::regex field(R"delimiter(\{"([a-z_]+)",)delimiter");
    const std::filesystem::path source(GG_SOURCE_DIRECTORY);
    std::map<std::string, field_set> events;
    for (const char* directory : {"libs/gateway/src", "programs/greengagechute-gateway"}) {
        for (const auto& entry : std::filesystem::directory_iterator(source / directory)) {
            if (entry.path().extension() != ".cpp") {
                continue;
            }
            const std::string text = read_file(entry.path());
            for (std::sregex_iterator next(text.begin(), text.end(), call), end; next != end;
                 ++next) {
                const std::string fields =
                    braced(text, static_cast<std::size_t>(next->position() + next->length()));
                for (const std::string& event : matches_of((*next)[1].str(), quoted)) {
                    for (const std::string& name : matches_of(fields, field)) {
                        if (name != "request") {
                            events[event].insert(name);
                        }
                    }
                }
            }
        }
    }
    events["log_lines_dropped"] = {"routine", "failures"};
    return events;
}

std::map<std::string, field_set> documented_events() {
    static const std::regex row(
        R"(\| `([a-z_]+)` \| \w+ \| \w+ \| ((?:`[a-z_]+` ?)*) *\| [^|]+ \|)");
    static const std::regex quoted("`([a-z_]+)`");
    const std::string text = read_file(std::filesystem::path(GG_SOURCE_DIRECTORY) / "docs/logs.md");
    std::map<std::string, field_set> events;
    for (std::sregex_iterator next(text.begin(), text.end(), row), end; next != end; ++next) {
        const auto names = matches_of((*next)[2].str(), quoted);
        events[(*next)[1].str()] = field_set(names.begin(), names.end());
    }
    return events;
}

std::string joined(const field_set& fields) {
    std::string text;
    for (const std::string& name : fields) {
        text += name + " ";
    }
    return text;
}

}  // namespace

// Guards against lines that operators and tools cannot look up, and against a schema that changes
// without its page.
BOOST_AUTO_TEST_CASE(every_event_is_documented_with_its_fields) {
    const auto written = written_events();
    auto documented = documented_events();
    BOOST_TEST(written.size() > 20U);
    for (const auto& [event, fields] : written) {
        BOOST_TEST_CONTEXT(event) {
            BOOST_TEST(documented.contains(event));
            BOOST_TEST(joined(documented[event]) == joined(fields));
            documented.erase(event);
        }
    }
    for (const auto& [event, fields] : documented) {
        BOOST_TEST(false, "nothing writes the documented event " << event);
    }
}
