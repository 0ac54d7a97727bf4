// Feeds changed and random bytes to the parsers of bytes from outside. Each input follows from the
// seed and its number, so that a failure can be repeated. A child process runs the parsers; if it
// ends by a signal or a sanitizer, the parent writes the input to a file.

#include "mutation.h"
#include "targets.h"

#include <popt.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>

namespace {

namespace fuzz = greengagechute::fuzz;
namespace files = std::filesystem;

constexpr std::size_t max_random_bytes = 2'000;
constexpr int in_random = 10;

struct arguments {
    std::string only;
    std::string corpus;
    std::string failures = ".";
    std::uint64_t seed = 1;
    std::uint64_t inputs = 2'000;
    int seconds = 0;
};

/// Takes over a text that popt has allocated.
std::string take_text(char* text, std::string_view absent) {
    const auto release = [](char* owned) { std::free(owned); };
    const std::unique_ptr<char, decltype(release)> owned(text, release);
    return std::string(text != nullptr ? text : absent);
}

std::string read_file(const files::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Inputs that have failed before, and the target's own samples.
std::vector<std::string> seeds_of(const fuzz::target& chosen, const std::string& corpus) {
    std::vector<std::string> seeds = chosen.samples;
    const files::path folder = files::path(corpus) / chosen.name;
    if (!corpus.empty() && files::is_directory(folder)) {
        for (const auto& entry : files::directory_iterator(folder)) {
            seeds.push_back(read_file(entry.path()));
        }
    }
    return seeds;
}

std::string make_input(const std::vector<std::string>& seeds, std::uint64_t seed,
                       std::uint64_t number) {
    if (number < seeds.size()) {
        return seeds[number];
    }
    std::seed_seq sequence{seed, number};
    std::mt19937_64 random(sequence);
    if (random() % in_random == 0) {
        std::string bytes(random() % max_random_bytes, '\0');
        for (char& byte : bytes) {
            byte = static_cast<char>(random());
        }
        return bytes;
    }
    std::string text = seeds[random() % seeds.size()];
    for (std::uint64_t rounds = 1 + random() % 4; rounds > 0; --rounds) {
        text = greengagechute::testing::mutated(std::move(text), random);
    }
    return text;
}

/// Runs one target. Returns whether all inputs passed.
bool run(const fuzz::target& chosen, const arguments& given) {
    const std::vector<std::string> seeds = seeds_of(chosen, given.corpus);
    // Shared with the child, which may end at any input.
    auto* const number = static_cast<std::uint64_t*>(::mmap(
        nullptr, sizeof(std::uint64_t), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
    if (number == MAP_FAILED) {
        std::perror("fuzz: mmap");
        return false;
    }
    *number = 0;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(given.seconds);
    std::fflush(stdout);
    const pid_t child = ::fork();
    if (child == 0) {
        const auto done = [&] {
            return given.seconds > 0 ? std::chrono::steady_clock::now() >= until
                                     : *number >= given.inputs + seeds.size();
        };
        for (; !done(); ++*number) {
            const std::string failed = chosen.check(make_input(seeds, given.seed, *number));
            if (!failed.empty()) {
                std::printf("%s: %s\n", chosen.name.c_str(), failed.c_str());
                std::fflush(stdout);
                ::_exit(1);
            }
        }
        ::_exit(0);
    }
    int state = 0;
    const bool waited = child > 0 && ::waitpid(child, &state, 0) == child;
    const bool passed = waited && WIFEXITED(state) && WEXITSTATUS(state) == 0;
    std::printf("%s: seed %llu, %llu inputs, %s\n", chosen.name.c_str(),
                static_cast<unsigned long long>(given.seed),
                static_cast<unsigned long long>(*number), passed ? "passed" : "FAILED");
    if (!passed) {
        const files::path path =
            files::path(given.failures) /
            (chosen.name + "-" + std::to_string(given.seed) + "-" + std::to_string(*number));
        std::ofstream(path, std::ios::binary) << make_input(seeds, given.seed, *number);
        std::printf("%s: the input is in %s\n", chosen.name.c_str(), path.c_str());
    }
    ::munmap(number, sizeof(std::uint64_t));
    return passed;
}

}  // namespace

int main(int argc, char** argv) {
    arguments given;
    char* only = nullptr;
    char* corpus = nullptr;
    char* failures = nullptr;
    long long seed = 1;
    long long inputs = 2'000;
    const poptOption options[] = {
        {"target", 't', POPT_ARG_STRING, &only, 0, "only this parser", "NAME"},
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the inputs (default 1)", "N"},
        {"inputs", 'n', POPT_ARG_LONGLONG, &inputs, 0, "inputs a parser (default 2000)", "N"},
        {"seconds", 0, POPT_ARG_INT, &given.seconds, 0, "time a parser, in place of --inputs", "S"},
        {"corpus", 'c', POPT_ARG_STRING, &corpus, 0, "folder with inputs to start from", "DIR"},
        {"failures", 'f', POPT_ARG_STRING, &failures, 0, "folder for inputs that failed", "DIR"},
        POPT_AUTOHELP POPT_TABLEEND};
    const auto release = [](poptContext_s* context) { poptFreeContext(context); };
    const std::unique_ptr<poptContext_s, decltype(release)> context(
        poptGetContext("fuzz", argc, const_cast<const char**>(argv), options, 0), release);
    const int code = poptGetNextOpt(context.get());
    given.only = take_text(only, "");
    given.corpus = take_text(corpus, "");
    given.failures = take_text(failures, ".");
    if (code < -1 || seed < 0 || inputs < 0 || given.seconds < 0) {
        std::fprintf(stderr, "fuzz: %s\n",
                     code < -1 ? poptStrerror(code) : "numbers must not be negative");
        return 2;
    }
    given.seed = static_cast<std::uint64_t>(seed);
    given.inputs = static_cast<std::uint64_t>(inputs);
    bool passed = true;
    bool found = false;
    for (const fuzz::target& chosen : fuzz::targets()) {
        if (given.only.empty() || given.only == chosen.name) {
            found = true;
            passed = run(chosen, given) && passed;
        }
    }
    if (!found) {
        std::fprintf(stderr, "fuzz: there is no parser %s\n", given.only.c_str());
        return 2;
    }
    return passed ? 0 : 1;
}
