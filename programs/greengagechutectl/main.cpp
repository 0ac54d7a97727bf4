#include "commands.h"
#include "options.h"

#include <csignal>

namespace ctl = greengagechute::ctl;

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = ctl::parse_command_line(argc, const_cast<const char**>(argv));
    if (const int* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    return ctl::run(std::get<ctl::command_line>(parsed));
}
