#include "cli/verbs.h"

#include <gflags/gflags.h>
#include <google/protobuf/stubs/logging.h>

#include <malloc.h>

#include <algorithm>
#include <iostream>
#include <vector>

namespace {

using quincefall::exit_code;

void printUsage(std::ostream &out)
{
    out << "usage: quincefall VERB [flags] [arguments]\n\n";
    for (const quincefall::verb &entry : quincefall::allVerbs()) {
        out << "  " << entry.name << ' ' << entry.arguments << "\n      " << entry.summary << '\n';
    }
    out << "\nquincefall VERB --help tells more of one verb.\n";
}

void printHelp(const quincefall::verb &entry)
{
    std::cout << "usage: quincefall " << entry.name << ' ' << entry.arguments << "\n\n"
              << entry.summary << '\n';
}

bool isHelp(const std::string &word)
{
    return word == "--help" || word == "-h" || word == "help";
}

exit_code run(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty()) {
        printUsage(std::cerr);
        return exit_code::usage;
    }
    if (isHelp(words.front())) {
        printUsage(std::cout);
        return exit_code::success;
    }
    const auto verbs = quincefall::allVerbs();
    const auto chosen = std::find_if(verbs.begin(), verbs.end(), [&words](const auto &entry) {
        return entry.name == words.front();
    });
    if (chosen == verbs.end()) {
        std::cerr << "quincefall: no such verb: " << words.front() << "\n\n";
        printUsage(std::cerr);
        return exit_code::usage;
    }
    if (std::any_of(words.begin() + 1, words.end(), isHelp)) {
        printHelp(*chosen);
        return exit_code::success;
    }
    // The default parser of gflags handles --help itself, so the variant without it is used.
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 2, argv + argc);
    return chosen->run(arguments);
}

} // namespace

int main(int argc, char **argv)
{
    // Large buffers go back to the system as soon as they are freed, whatever was freed before.
    mallopt(M_MMAP_THRESHOLD, 128 * 1024);
    // Keeps protobuf from printing to stderr: a message that cannot be decoded is reported as an
    // error of the call.
    google::protobuf::SetLogHandler(nullptr);
    try {
        return int(run(argc, argv));
    } catch (const std::exception &failure) {
        std::cerr << "quincefall: " << failure.what() << '\n';
        return int(exit_code::failure);
    }
}
